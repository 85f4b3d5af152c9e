#include "src/core/cell/placing/StepChoices.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

/// True for a task whose scores do not differ from those of the step's other
/// tasks. Tasks of steps that belong on one rack depend on where the others
/// are.
bool IsLikeOthers(const JobEntry& aJob, const TaskRef& aTask, Instant aNow)
{
  const StepSpec& spec = aJob.Spec(aTask);
  const TaskEntry& task = *aJob.Find(aTask);
  return !spec.mGang && !spec.mSameRack && task.mRuns.empty() &&
         task.mFailedOn.empty() && task.mStalledUntil <= aNow &&
         !task.mCrashes.Suspect();
}

} // namespace

/// Equal scores are ordered by ID, as in a pass over all workers.
bool StepChoices::IsWorse(const Choice& aLeft, const Choice& aRight)
{
  return aLeft.mScore != aRight.mScore
           ? aLeft.mScore > aRight.mScore
           : aRight.mWorker->mId < aLeft.mWorker->mId;
}

std::optional<AgentId> StepChoices::Choose(const PlacementView& aView,
                                           JobEntry& aJob,
                                           const TaskRef& aTask)
{
  if (aView.mNoRecentStartOnly || !IsLikeOthers(aJob, aTask, aView.mNow)) {
    mKnown = false; // Its start may change any worker.
    return ChooseWorker(aView, aJob, aTask);
  }
  if (!mKnown || mStarving != aView.mStarving) {
    Rebuild(aView, aJob, aTask);
  } else if (!mChoices.empty()) {
    ScoreBestAgain(aView, aJob, aTask);
  }
  return mChoices.empty() ? std::nullopt
                          : std::optional(mChoices.front().mWorker->mId);
}

void StepChoices::Rebuild(const PlacementView& aView,
                          JobEntry& aJob,
                          const TaskRef& aTask)
{
  mChoices.clear();
  InterferenceWeightCache weights(aView.mInterference, aJob.Spec(aTask).mImage);
  for (const auto& [id, worker] : aView.mWorkers) {
    Add(aView, worker, aJob, aTask, weights);
  }
  std::ranges::make_heap(mChoices, IsWorse);
  mKnown = true;
  mStarving = aView.mStarving;
}

/// A task was placed on the best worker, or could not be started there.
void StepChoices::ScoreBestAgain(const PlacementView& aView,
                                 JobEntry& aJob,
                                 const TaskRef& aTask)
{
  const WorkerEntry& worker = *mChoices.front().mWorker;
  std::ranges::pop_heap(mChoices, IsWorse);
  mChoices.pop_back();
  InterferenceWeightCache weights(aView.mInterference, aJob.Spec(aTask).mImage);
  const std::size_t others = mChoices.size();
  Add(aView, worker, aJob, aTask, weights);
  if (mChoices.size() > others) {
    std::ranges::push_heap(mChoices, IsWorse);
  }
}

void StepChoices::Add(const PlacementView& aView,
                      const WorkerEntry& aWorker,
                      JobEntry& aJob,
                      const TaskRef& aTask,
                      InterferenceWeightCache& aWeights)
{
  ++mEvaluations;
  if (const auto score = ScoreOn(aView, aWorker, aJob, aTask, aWeights)) {
    mChoices.push_back({ *score, &aWorker });
  }
}

} // namespace foxtailbarrow::cell
