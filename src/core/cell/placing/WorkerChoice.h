#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/crashes/CrashTrials.h"
#include "src/core/cell/placing/PlacementRefusal.h"
#include "src/core/cell/throttling/InterferenceEstimator.h"
#include "src/core/cell/throttling/WorkerInterference.h"
#include "src/core/cell/workers/WorkerCapacity.h"

namespace foxtailbarrow::cell {

/// True if the worker is of the kind that the task needs, whatever runs on it.
bool CouldRun(const WorkerEntry& aWorker,
              const JobEntry& aJob,
              const TaskRef& aTask);

/// Inputs to the choice of a worker besides the job.
struct PlacementView
{
  const WorkerTable& mWorkers;
  const InterferenceEstimator& mInterference;
  const CellSettings& mSettings;
  const CrashTrials& mTrials;
  Instant mNow{};
  /// Nothing of the job has run for a while: accept any worker with free
  /// capacity, however loaded.
  bool mStarving = false;
  /// Only consider workers on which nothing has started recently.
  bool mNoRecentStartOnly = false;
  /// Number of the run for a member of a gang, else 0.
  RunNumber mGangRun = 0;
};

/// Score of the worker for one more run of the task; lower scores are better.
/// Nullopt if it does not accept the task now. `aWeights` are those of the
/// step's image.
std::optional<double> ScoreOn(const PlacementView& aView,
                              const WorkerEntry& aWorker,
                              JobEntry& aJob,
                              const TaskRef& aTask,
                              InterferenceWeightCache& aWeights);

/// Picks the worker for one more run of a task, or none if no worker accepts it
/// now. Serving tasks are packed by image. Best-effort tasks go where the most
/// capacity is left for them and they interfere least with serving tasks.
/// Suspects go where a crash would lose the least. Other tasks go to the least
/// used worker. Workers on which the task failed before come last; one that
/// holds another run of it is never picked.
std::optional<AgentId> ChooseWorker(const PlacementView& aView,
                                    JobEntry& aJob,
                                    const TaskRef& aTask);

/// Counts workers by why they refuse the task; workers that would accept it are
/// left out.
RefusalCounts CountRefusals(const PlacementView& aView,
                            JobEntry& aJob,
                            const TaskRef& aTask);

} // namespace foxtailbarrow::cell
