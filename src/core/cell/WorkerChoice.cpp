#include "src/core/cell/WorkerChoice.h"

#include <algorithm>
#include <limits>

namespace foxtailbarrow::cell {

namespace {

/// Scores are about 0 to 2; a worker with one of these is a last resort.
constexpr double kFailedHerePenalty = 10.0;
constexpr double kFarFromDataPenalty = 0.5;
/// A worker whose leftover tasks are paced has less than it seems.
constexpr double kPacedPenalty = 1.0;
constexpr double kFullPace = 100.0;
/// Least leftover that a ratio is taken of, to keep it finite.
constexpr double kLeastLeftover = 1000.0;

bool HasLabel(const WorkerInfo& aInfo, const std::string& aLabel)
{
  return aLabel.empty() || std::ranges::find(aInfo.mLabels, aLabel) !=
                             aInfo.mLabels.end();
}

bool HasRoom(const WorkerEntry& aWorker, const StepSpec& aSpec)
{
  return (aWorker.mUse.mReserved + Reservation(aSpec))
    .FitsIn(aWorker.mInfo.mCapacity);
}

std::int32_t TasksOfStepOn(const StepEntry& aStep, const AgentId& aAgent)
{
  std::int32_t count = 0;
  for (const TaskEntry& task : aStep.mTasks) {
    for (const TaskRun& run : task.mRuns) {
      count += run.mAgent == aAgent ? 1 : 0;
    }
  }
  return count;
}

bool MayTake(const WorkerEntry& aWorker,
             JobEntry& aJob,
             const TaskRef& aTask,
             Instant aNow)
{
  const StepSpec& spec = aJob.Spec(aTask);
  if (aWorker.mLink != WorkerLink::Attached || aWorker.mInfo.mDraining ||
      aWorker.mInfo.mIncarnation.Empty() || !aWorker.mAnswers || !aWorker.mForeign.empty() ||
      aWorker.mAvoidUntil > aNow || aWorker.mGrantedUntil <= aNow) {
    return false;
  }
  if (aWorker.mInfo.mService != aJob.mPolicy.mService ||
      !HasLabel(aWorker.mInfo, spec.mRequiredLabel) ||
      !HasRoom(aWorker, spec)) {
    return false;
  }
  const std::int32_t here = TasksOfStepOn(aJob.StepOf(aTask), aWorker.mId);
  return spec.mMaxPerWorker == 0 || here < spec.mMaxPerWorker;
}

double ReservedShare(const WorkerEntry& aWorker)
{
  const Resources& capacity = aWorker.mInfo.mCapacity;
  if (capacity.mMillicores == 0) {
    return 1.0;
  }
  return static_cast<double>(aWorker.mUse.mReserved.mMillicores) /
         static_cast<double>(capacity.mMillicores);
}

double LeftoverRatio(const WorkerEntry& aWorker,
                     std::int64_t aMore,
                     const CellSettings& aSettings)
{
  const double left =
    std::max(kLeastLeftover, LeftoverMillicores(aWorker, aSettings));
  return static_cast<double>(aWorker.mUse.mLeftover + aMore) / left;
}

/// Lower is better; nullopt when the worker is too loaded.
std::optional<double> LeftoverScore(const WorkerEntry& aWorker,
                                    const StepSpec& aSpec,
                                    const CellSettings& aSettings)
{
  const double ratio =
    LeftoverRatio(aWorker, aSpec.mDemand.mMillicores, aSettings);
  const bool empty = aWorker.mUse.mLeftover == 0;
  if (ratio > aSettings.mMaxLeftoverRatio && !empty) {
    return std::nullopt;
  }
  double score = ratio;
  if (aWorker.mUse.mServing > 0) {
    score += aSettings.mServingPenalty;
    score += kPacedPenalty * (1.0 - aWorker.mPacePercent / kFullPace);
  }
  return score;
}

std::optional<double> Score(const WorkerEntry& aWorker,
                            const StepSpec& aSpec,
                            const CellSettings& aSettings)
{
  if (aSpec.mLeftover) {
    return LeftoverScore(aWorker, aSpec, aSettings);
  }
  const double leftoverLoad = LeftoverRatio(aWorker, 0, aSettings);
  if (aSpec.mStanding) {
    // Fullest first, but away from leftover tasks that run already.
    return leftoverLoad - ReservedShare(aWorker);
  }
  return ReservedShare(aWorker) + leftoverLoad / 2;
}

} // namespace

Resources Reservation(const StepSpec& aSpec)
{
  Resources reserved = aSpec.mDemand;
  if (aSpec.mLeftover) {
    reserved.mMillicores = 0;
  }
  return reserved;
}

void CountUse(WorkerUse& aUse, const StepSpec& aSpec, int aSign)
{
  if (aSign > 0) {
    aUse.mReserved += Reservation(aSpec);
  } else {
    aUse.mReserved -= Reservation(aSpec);
  }
  const std::int64_t millicores = aSign * aSpec.mDemand.mMillicores;
  if (aSpec.mLeftover) {
    aUse.mLeftover += millicores;
  }
  if (aSpec.mStanding) {
    aUse.mStanding += millicores;
  }
  if (aSpec.mLatencyTarget > Duration::zero()) {
    aUse.mServing += aSign;
  }
}

double LeftoverMillicores(const WorkerEntry& aWorker,
                          const CellSettings& aSettings)
{
  const auto standing = static_cast<double>(aWorker.mUse.mStanding);
  const auto reserved =
    static_cast<double>(aWorker.mUse.mReserved.mMillicores);
  const double used = reserved - standing * (1.0 - aSettings.mStandingUse);
  return static_cast<double>(aWorker.mInfo.mCapacity.mMillicores) - used;
}

std::optional<AgentId> ChooseWorker(const WorkerTable& aWorkers,
                                    JobEntry& aJob,
                                    const TaskRef& aTask,
                                    const CellSettings& aSettings,
                                    Instant aNow)
{
  const StepSpec& spec = aJob.Spec(aTask);
  const TaskEntry& task = *aJob.Find(aTask);
  std::optional<AgentId> best;
  double bestScore = std::numeric_limits<double>::max();
  for (const auto& [id, worker] : aWorkers) {
    const bool runsHere = worker.mRuns.contains(aTask);
    if (runsHere || !MayTake(worker, aJob, aTask, aNow)) {
      continue;
    }
    std::optional<double> score = Score(worker, spec, aSettings);
    if (!score) {
      continue;
    }
    if (std::ranges::find(task.mFailedOn, id) != task.mFailedOn.end()) {
      *score += kFailedHerePenalty;
    }
    if (!spec.mDataRack.Empty() && spec.mDataRack != worker.mInfo.mRack) {
      *score += kFarFromDataPenalty;
    }
    if (*score < bestScore) {
      bestScore = *score;
      best = id;
    }
  }
  return best;
}

} // namespace foxtailbarrow::cell
