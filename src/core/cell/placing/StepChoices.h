#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "src/core/cell/placing/WorkerChoice.h"

namespace foxtailbarrow::cell {

/// Chooses workers for the tasks of one step in one placement round, as
/// ChooseWorker() does for a single task. Tasks of a step that have not run yet
/// are alike, so each worker is scored once, and again when a task was placed
/// on it. Does no I/O.
///
/// Load pattern: wide steps that are released together, on many workers. With
/// one pass over the workers per task a round grew with the product of both.
class StepChoices
{
public:
  /// The worker for one more run of the task. Between two calls, a worker may
  /// only have changed by the start of a task on the one returned last.
  std::optional<AgentId> Choose(const PlacementView& aView,
                                JobEntry& aJob,
                                const TaskRef& aTask);

  /// Number of times that a worker was scored.
  std::size_t Evaluations() const { return mEvaluations; }

private:
  struct Choice
  {
    double mScore = 0;
    const WorkerEntry* mWorker = nullptr;
  };

  static bool IsWorse(const Choice& aLeft, const Choice& aRight);
  void Rebuild(const PlacementView& aView,
               JobEntry& aJob,
               const TaskRef& aTask);
  void ScoreBestAgain(const PlacementView& aView,
                      JobEntry& aJob,
                      const TaskRef& aTask);
  void Add(const PlacementView& aView,
           const WorkerEntry& aWorker,
           JobEntry& aJob,
           const TaskRef& aTask,
           InterferenceWeightCache& aWeights);

  std::vector<Choice> mChoices; ///< A heap; the best is in front.
  bool mKnown = false;
  bool mStarving = false; ///< As of the scores.
  std::size_t mEvaluations = 0;
};

} // namespace foxtailbarrow::cell
