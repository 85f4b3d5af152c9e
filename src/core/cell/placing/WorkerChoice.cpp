#include "src/core/cell/placing/WorkerChoice.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>
#include <variant>

namespace foxtailbarrow::cell {

namespace {

/// Scores are about 0 to 2, so a worker with one of these is a last resort.
constexpr double kFailedHerePenalty = 10.0;
constexpr double kRecentCrashPenalty = 5.0;
/// Workers that crash repeatedly do so every few seconds.
constexpr Duration kRecentCrashWindow = std::chrono::seconds(20);
constexpr double kFarFromDataPenalty = 0.5;
/// Per other serving image on a worker: the fewer images, the more best-effort
/// images are compatible with all of them.
constexpr double kOtherImagePenalty = 0.3;
/// Per unit of interference above a serving task's budget: the best-effort task
/// would be slowed down about as much.
constexpr double kInterferencePenalty = 1.5;
/// Lower bound of the divisor of BestEffortRatio(), to keep it finite.
constexpr double kMinBestEffortMillicores = 1000.0;
constexpr double kMillicores = 1000.0;

bool HasLabel(const WorkerInfo& aInfo, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::ranges::find(aInfo.mLabels, aLabel) != aInfo.mLabels.end();
}

bool HasFreeCapacity(const WorkerEntry& aWorker, const StepSpec& aSpec)
{
  if (aWorker.mRuns.size() + aWorker.mEnds.Pending() >=
      CellLimits::kTasksPerWorker) {
    return false;
  }
  // The members of a gang have to be decided in one round.
  if (!aSpec.mGang && aWorker.mUnsentBytes >= CellLimits::kOrderBytes) {
    return false;
  }
  return (aWorker.mUse.mReserved + Reservation(aSpec))
    .FitsIn(aWorker.mInfo.mCapacity);
}

std::int32_t TasksOfStepOn(const StepEntry& aStep, const AgentId& aAgent)
{
  std::int32_t count = 0;
  for (const auto& [index, task] : aStep.Touched()) {
    for (const TaskRun& run : task.mRuns) {
      count += run.mAgent == aAgent ? 1 : 0;
    }
  }
  return count;
}

/// For a worker that takes tasks.
bool CanAccept(const WorkerEntry& aWorker,
               JobEntry& aJob,
               const TaskRef& aTask,
               Instant aNow)
{
  const StepSpec& spec = aJob.Spec(aTask);
  if (!CouldRun(aWorker, aJob, aTask) || !HasFreeCapacity(aWorker, spec)) {
    return false;
  }
  if (aJob.mPolicy.mAdvice && aJob.StepOf(aTask).mAdvice.Ticket(
                                aWorker.mInfo.mIncarnation, aNow) == nullptr) {
    return false;
  }
  return spec.mMaxPerWorker == 0 ||
         TasksOfStepOn(aJob.StepOf(aTask), aWorker.mId) < spec.mMaxPerWorker;
}

/// True if a task of the step runs on another rack than the worker's.
bool SplitsStep(const WorkerTable& aWorkers,
                const WorkerEntry& aWorker,
                const StepEntry& aStep)
{
  return std::ranges::any_of(aStep.Touched(), [&](const auto& aEntry) {
    return std::ranges::any_of(aEntry.second.mRuns, [&](const TaskRun& aRun) {
      return aWorkers.at(aRun.mAgent).mInfo.mRack != aWorker.mInfo.mRack;
    });
  });
}

double BestEffortRatio(const WorkerEntry& aWorker,
                       std::int64_t aMore,
                       const CellSettings& aSettings)
{
  const double left = std::max(kMinBestEffortMillicores,
                               BestEffortMillicores(aWorker, aSettings));
  return static_cast<double>(aWorker.mUse.mBestEffort + aMore) / left;
}

/// Which best-effort tasks of a worker count as interfering.
enum class CountedTasks : std::uint8_t
{
  None,
  NotStalled,
  All,
};

/// Millicores of the image's best-effort tasks that count as interfering.
std::int64_t CountedMillicores(const WorkerUse& aUse,
                               const std::string& aImage,
                               std::int64_t aAll,
                               CountedTasks aCounted)
{
  const auto stalled = aUse.mStalledByImage.find(aImage);
  if (aCounted == CountedTasks::All || stalled == aUse.mStalledByImage.end()) {
    return aAll;
  }
  return std::max<std::int64_t>(0, aAll - stalled->second);
}

/// Interference with the serving tasks of a job above its budget, with `aMore`
/// more millicores of a best-effort image.
double ExcessInterference(const WorkerEntry& aWorker,
                          const JobId& aServingJob,
                          const std::string& aServing,
                          const std::string& aBestEffort,
                          std::int64_t aMore,
                          const PlacementView& aView,
                          CountedTasks aCounted = CountedTasks::All)
{
  const InterferenceEstimator& interference = aView.mInterference;
  double total = interference.PerCore(aServing, aBestEffort) *
                 static_cast<double>(aMore) / kMillicores;
  if (aCounted != CountedTasks::None) {
    for (const auto& [image, all] : aWorker.mUse.mBestEffortByImage) {
      const std::int64_t counted =
        CountedMillicores(aWorker.mUse, image, all, aCounted);
      total += interference.PerCore(aServing, image) *
               static_cast<double>(counted) / kMillicores;
    }
  }
  return total - interference.Budget(aServingJob,
                                     aServing,
                                     aView.mSettings.mPlannedLatencyShare,
                                     aView.mNow);
}

/// Maximum of ExcessInterference() for all serving jobs of the worker, and 0.
double WorstExcessInterference(const WorkerEntry& aWorker,
                               const StepSpec& aSpec,
                               const PlacementView& aView,
                               CountedTasks aCounted)
{
  double worst = 0;
  for (const auto& [job, serving] : aWorker.mUse.mServing) {
    worst = std::max(worst,
                     ExcessInterference(aWorker,
                                        job,
                                        serving.mImage,
                                        aSpec.mImage,
                                        aSpec.mDemand.mMillicores,
                                        aView,
                                        aCounted));
  }
  return worst;
}

/// Distinguishes why a worker refuses a task that would interfere too much.
PlacementRefusal RefineInterferenceRefusal(const PlacementView& aView,
                                           const WorkerEntry& aWorker,
                                           const StepSpec& aSpec)
{
  const double limit = aView.mSettings.mMaxExcessInterference;
  if (WorstExcessInterference(aWorker, aSpec, aView, CountedTasks::None) >
      limit) {
    return PlacementRefusal::Interferes;
  }
  if (WorstExcessInterference(aWorker, aSpec, aView, CountedTasks::NotStalled) >
      limit) {
    return PlacementRefusal::Crowded;
  }
  return PlacementRefusal::BlockedByStalled;
}

/// Lower scores are better. A refusal for interference is not refined here;
/// RefineInterferenceRefusal() does that for the log only.
using ScoreOrRefusal = std::variant<double, RefusalReason>;

ScoreOrRefusal BestEffortScore(const PlacementView& aView,
                               const WorkerEntry& aWorker,
                               const StepSpec& aSpec,
                               InterferenceWeightCache& aWeights)
{
  const double ratio =
    BestEffortRatio(aWorker, aSpec.mDemand.mMillicores, aView.mSettings);
  const double excess =
    aWorker.mWorkerInterference.IsKnown()
      ? aWorker.mWorkerInterference.WorstExcess(aWeights,
                                                aSpec.mDemand.mMillicores)
      : WorstExcessInterference(aWorker, aSpec, aView, CountedTasks::All);
  const bool full =
    ratio > aView.mSettings.mMaxBestEffortRatio && aWorker.mUse.mBestEffort > 0;
  const bool interferes = excess > aView.mSettings.mMaxExcessInterference;
  if ((full || interferes) && !aView.mStarving) {
    return RefusalReason(full ? PlacementRefusal::Full
                              : PlacementRefusal::Interferes);
  }
  return ratio + kInterferencePenalty * excess;
}

double StandingScore(const PlacementView& aView,
                     const WorkerEntry& aWorker,
                     const JobId& aJob,
                     const StepSpec& aSpec)
{
  // Fullest first, but away from best-effort tasks that run already.
  double score =
    BestEffortRatio(aWorker, 0, aView.mSettings) - ReservedShare(aWorker);
  std::set<std::string_view> others = ServingImages(aWorker.mUse);
  others.erase(aSpec.mImage);
  score += kOtherImagePenalty * static_cast<double>(others.size());
  const double excess =
    ExcessInterference(aWorker, aJob, aSpec.mImage, {}, 0, aView);
  return score + kInterferencePenalty * std::max(0.0, excess);
}

ScoreOrRefusal ScoreOfUse(const PlacementView& aView,
                          const WorkerEntry& aWorker,
                          const JobId& aJob,
                          const StepSpec& aSpec,
                          InterferenceWeightCache& aWeights)
{
  if (aSpec.mBestEffort) {
    return BestEffortScore(aView, aWorker, aSpec, aWeights);
  }
  if (aSpec.mStanding) {
    return StandingScore(aView, aWorker, aJob, aSpec);
  }
  return ReservedShare(aWorker) +
         BestEffortRatio(aWorker, 0, aView.mSettings) / 2;
}

/// Score for a suspect: what a crash of the worker would lose. Workers that
/// crashed recently come last, as a crash without the task's fault would count
/// against it.
double LossScore(const PlacementView& aView, const WorkerEntry& aWorker)
{
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(1, aWorker.mInfo.mCapacity.mMillicores));
  const bool crashedRecently =
    aWorker.mCrashedAt != Instant{} &&
    aView.mNow - aWorker.mCrashedAt < kRecentCrashWindow;
  return ReservedShare(aWorker) +
         static_cast<double>(aWorker.mUse.mBestEffort) / capacity +
         (crashedRecently ? kRecentCrashPenalty : 0.0);
}

ScoreOrRefusal Score(const PlacementView& aView,
                     const WorkerEntry& aWorker,
                     JobEntry& aJob,
                     const TaskRef& aTask,
                     InterferenceWeightCache& aWeights)
{
  if (const WorkerBlock block = BlockOf(aWorker, aView.mNow);
      block != WorkerBlock::None) {
    return RefusalReason(block);
  }
  const StepSpec& spec = aJob.Spec(aTask);
  const TaskEntry& task = *aJob.Find(aTask);
  if (task.mStalledOn == aWorker.mId && aView.mNow < task.mStalledUntil) {
    return RefusalReason(PlacementRefusal::StalledHere);
  }
  if (!aView.mTrials.AllowsStart(aWorker.mId,
                                 aTask,
                                 task.mCrashes.Suspected(),
                                 aView.mNow,
                                 aView.mGangRun) ||
      (aView.mNoRecentStartOnly && !aWorker.HasNoRecentStart())) {
    return RefusalReason(PlacementRefusal::OnTrial);
  }
  const bool runsHere = !task.mRuns.empty() && aWorker.mRuns.contains(aTask);
  if (runsHere || !CanAccept(aWorker, aJob, aTask, aView.mNow)) {
    return RefusalReason(HasFreeCapacity(aWorker, spec)
                           ? PlacementRefusal::Unfit
                           : PlacementRefusal::NoFreeCapacity);
  }
  const ScoreOrRefusal byUse =
    ScoreOfUse(aView, aWorker, aTask.mJob, spec, aWeights);
  if (std::holds_alternative<RefusalReason>(byUse)) {
    return byUse;
  }
  double score = task.mCrashes.Suspect() ? LossScore(aView, aWorker)
                                         : std::get<double>(byUse);
  if (std::ranges::find(task.mFailedOn, aWorker.mId) != task.mFailedOn.end()) {
    score += kFailedHerePenalty;
  }
  if (!spec.mDataRack.Empty() && spec.mDataRack != aWorker.mInfo.mRack) {
    score += kFarFromDataPenalty;
  }
  if (spec.mSameRack &&
      SplitsStep(aView.mWorkers, aWorker, aJob.StepOf(aTask))) {
    score += kFarFromDataPenalty;
  }
  return score;
}

} // namespace

bool CouldRun(const WorkerEntry& aWorker,
              const JobEntry& aJob,
              const TaskRef& aTask)
{
  return aWorker.mInfo.mService == aJob.mPolicy.mService &&
         HasLabel(aWorker.mInfo, aJob.Spec(aTask).mRequiredLabel);
}

std::optional<double> ScoreOn(const PlacementView& aView,
                              const WorkerEntry& aWorker,
                              JobEntry& aJob,
                              const TaskRef& aTask,
                              InterferenceWeightCache& aWeights)
{
  const ScoreOrRefusal score = Score(aView, aWorker, aJob, aTask, aWeights);
  const double* const found = std::get_if<double>(&score);
  return found != nullptr ? std::optional(*found) : std::nullopt;
}

std::optional<AgentId> ChooseWorker(const PlacementView& aView,
                                    JobEntry& aJob,
                                    const TaskRef& aTask)
{
  std::optional<AgentId> best;
  double bestScore = std::numeric_limits<double>::max();
  InterferenceWeightCache weights(aView.mInterference, aJob.Spec(aTask).mImage);
  for (const auto& [id, worker] : aView.mWorkers) {
    if (const auto found = ScoreOn(aView, worker, aJob, aTask, weights);
        found && *found < bestScore) {
      bestScore = *found;
      best = id;
    }
  }
  return best;
}

RefusalCounts CountRefusals(const PlacementView& aView,
                            JobEntry& aJob,
                            const TaskRef& aTask)
{
  RefusalCounts counts;
  InterferenceWeightCache weights(aView.mInterference, aJob.Spec(aTask).mImage);
  for (const auto& [id, worker] : aView.mWorkers) {
    const ScoreOrRefusal score = Score(aView, worker, aJob, aTask, weights);
    const auto* refusal = std::get_if<RefusalReason>(&score);
    if (refusal == nullptr) {
      continue;
    }
    ++counts[*refusal == RefusalReason(PlacementRefusal::Interferes)
               ? RefineInterferenceRefusal(aView, worker, aJob.Spec(aTask))
               : *refusal];
  }
  return counts;
}

} // namespace foxtailbarrow::cell
