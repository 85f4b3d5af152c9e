#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

#include "src/core/cell/placing/Candidate.h"

namespace foxtailbarrow::cell {

namespace {

constexpr double kMillicores = 1000.0;
/// Waiting steps are logged this often, one line per image.
constexpr Duration kLogWaitingInterval = std::chrono::seconds(1);

/// A job without a running task for this long is logged. The bound for callers
/// is 3 s.
constexpr Duration kLongIdle = std::chrono::milliseconds(1500);
constexpr int kMaxIdleJobsLogged = 5;

std::string ToText(const RefusalCounts& aCounts)
{
  std::string text;
  for (const auto& [refusal, workers] : aCounts) {
    text += text.empty() ? "" : " ";
    text += ToString(refusal);
    text += "=" + std::to_string(workers);
  }
  return text;
}

/// In cores, what the workers leave to best-effort tasks and how much of it
/// these demand, are stalled with and use; and the number of workers by their
/// count of serving images.
std::string LoadText(const WorkerTable& aWorkers, const CellSettings& aSettings)
{
  double left = 0;
  double wanted = 0;
  double stalled = 0;
  double used = 0;
  std::map<std::size_t, int> byImages;
  for (const auto& [id, worker] : aWorkers) {
    if (worker.mLink != WorkerLink::Attached) {
      continue;
    }
    left += BestEffortMillicores(worker, aSettings);
    wanted += static_cast<double>(worker.mUse.mBestEffort);
    used += static_cast<double>(worker.mUse.mBestEffortUsed);
    for (const auto& [image, millicores] : worker.mUse.mStalledByImage) {
      stalled += static_cast<double>(millicores);
    }
    ++byImages[ServingImages(worker.mUse).size()];
  }
  std::string images;
  for (const auto& [count, workers] : byImages) {
    images += " images" + std::to_string(count) + "=" + std::to_string(workers);
  }
  return absl::StrCat("left=",
                      std::llround(left / kMillicores),
                      " wanted=",
                      std::llround(wanted / kMillicores),
                      " stalled=",
                      std::llround(stalled / kMillicores),
                      " used=",
                      std::llround(used / kMillicores),
                      images);
}

/// The agents that inherited tasks wait for after a takeover: how many of them
/// may run any task (`open`), and how many tasks the records of the others
/// name.
std::string ToText(
  const std::map<AgentId, std::optional<std::size_t>>& aMissing)
{
  constexpr int kMaxNamed = 5;
  std::string names;
  int open = 0;
  std::size_t tasks = 0;
  for (const auto& [agent, named] : aMissing) {
    tasks += named.value_or(0);
    if (!named && ++open <= kMaxNamed) {
      names += " " + agent.Value();
    }
  }
  return absl::StrCat(
    "agents=", aMissing.size(), " open=", open, " named=", tasks, names);
}

} // namespace

/// Logs how the last task of a best-effort step spent its time.
void CellScheduler::OnStepDone(JobEntry& aJob, const TaskRef& aTask)
{
  const StepSpec& spec = aJob.Spec(aTask);
  if (!spec.mBestEffort) {
    return;
  }
  LogDecision("step-done",
              aTask,
              {},
              0,
              absl::StrCat(ToString(aJob.Find(aTask)->mTime),
                           " image=",
                           spec.mImage,
                           " tasks=",
                           spec.mReplicas));
}

/// What else than the workers may keep the task from being placed.
const char* CellScheduler::HeldBy(JobEntry& aJob,
                                  const TaskRef& aTask,
                                  Instant aNow) const
{
  const TaskEntry& task = *aJob.Find(aTask);
  if (MayRunUnreported(aJob, aTask, aNow)) {
    return "unreported";
  }
  if (task.mNotBefore > aNow) {
    return "pause";
  }
  if (!CrashesAllowStart(aJob, aTask, aNow)) {
    return "crashes";
  }
  return task.mCrashes.Suspect() ? "trial" : "none";
}

/// Logs, for the first waiting step of each best-effort image and for jobs that
/// have been idle for long, why no worker accepts it.
void CellScheduler::LogWaiting(const std::vector<Candidate>& aCandidates,
                               const CellClock& aClock)
{
  if (aClock.mNow - mWaitingLoggedAt < kLogWaitingInterval) {
    return;
  }
  mWaitingLoggedAt = aClock.mNow;
  LogDecision("leftover-load", {}, {}, 0, LoadText(mWorkers, mSettings));
  if (const auto held = std::exchange(mStartsOverLimit, 0); held > 0) {
    LogDecision("starts-held", {}, {}, 0, "too-many-started-tasks", held);
  }
  if (const auto missing = mUnreported.Missing(aClock.mNow); !missing.empty()) {
    LogDecision("takeover-waits", {}, {}, 0, ToText(missing));
  }
  std::set<std::string> loggedImages;
  int idleJobs = 0;
  for (const Candidate& candidate : aCandidates) {
    JobEntry& job = mJobs.at(candidate.mFirstTask.mJob);
    const StepSpec& spec = job.Spec(candidate.mFirstTask);
    const StepEntry& step = job.StepOf(candidate.mFirstTask);
    if (!step.HasIdle()) {
      continue;
    }
    const Duration idleTime = IdleTime(job, candidate.mFirstTask, aClock.mNow);
    const bool first =
      spec.mBestEffort && loggedImages.insert(spec.mImage).second;
    const bool longIdle =
      idleTime > kLongIdle && ++idleJobs <= kMaxIdleJobsLogged;
    if (!first && !longIdle) {
      continue;
    }
    TaskRef task = candidate.mFirstTask;
    while (!step.Task(task.mIndex).Idle()) {
      ++task.mIndex;
    }
    const RefusalCounts refusals = CountRefusals(
      { mWorkers, mInterference, mSettings, mTrials, aClock.mNow, false },
      job,
      task);
    LogDecision("step-waits",
                task,
                {},
                0,
                absl::StrCat("image=",
                             spec.mImage,
                             " idle=",
                             step.IdleTasks(),
                             " heldBy=",
                             HeldBy(job, task, aClock.mNow),
                             " ",
                             ToText(refusals)),
                WholeMilliseconds(idleTime));
  }
}

} // namespace foxtailbarrow::cell
