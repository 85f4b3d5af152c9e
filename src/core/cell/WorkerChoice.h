#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellSettings.h"
#include "src/core/cell/CrashTrials.h"
#include "src/core/cell/InterferenceEstimator.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/PlacementRefusal.h"
#include "src/core/cell/WorkerCapacity.h"

namespace foxtailbarrow::cell {

/// True when the worker is of the kind that the task needs, whatever runs
/// there.
bool CouldRun(const WorkerEntry& aWorker,
              const JobEntry& aJob,
              const TaskRef& aTask);

/// What a choice rests on besides the job.
struct PlacementView
{
  const WorkerTable& mWorkers;
  const InterferenceEstimator& mInterference;
  const CellSettings& mSettings;
  const CrashTrials& mTrials;
  Instant mNow{};
  /// Nothing of the job has run for a while: any worker with room is better
  /// than none, however loaded.
  bool mStarving = false;
  /// Only workers where nothing has just started.
  bool mNoRecentStartOnly = false;
};

/// Picks the worker for one more run of a task, or none when no worker may take
/// it now. Serving tasks are packed together by image; leftover tasks go where
/// most is left for them and where they disturb the serving tasks least; other
/// tasks go to the least used worker; one that may crash its worker goes where
/// the least would be lost. Workers on which the task failed before
/// come last; one that holds another run of it is not taken.
std::optional<AgentId> ChooseWorker(const PlacementView& aView,
                                    JobEntry& aJob,
                                    const TaskRef& aTask);

/// Why workers refuse the task; those that would take it are left out.
RefusalCounts CountRefusals(const PlacementView& aView,
                            JobEntry& aJob,
                            const TaskRef& aTask);

} // namespace foxtailbarrow::cell
