#include "standins/worker/TaskRunner.h"

#include <algorithm>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::standin {

namespace {

constexpr char kProgram[] = "sleep";

absl::Status NotRun(absl::Status aStatus)
{
  return WithVerdict(std::move(aStatus), Verdict::NotRun);
}

absl::Status NoSuchTask()
{
  return NotRun(absl::NotFoundError("no such running task"));
}

} // namespace

std::string_view ToString(TaskEventKind aKind)
{
  switch (aKind) {
    case TaskEventKind::Started:
      return "started";
    case TaskEventKind::Finished:
      return "finished";
    case TaskEventKind::Failed:
      return "failed";
    case TaskEventKind::Checkpointed:
      return "checkpointed";
    case TaskEventKind::Stopped:
      return "stopped";
    case TaskEventKind::Lapsed:
      return "lapsed";
  }
  return "unknown";
}

TaskRunner::TaskRunner(TaskRunnerSettings aSettings)
  : mSettings(aSettings)
{
}

void TaskRunner::Advance(Instant aNow)
{
  for (auto& [key, run] : mRuns) {
    if (run.mStatus.mState != TaskState::Running) {
      continue;
    }
    const auto end = EndOf(run);
    const bool ends = end && *end <= std::min(aNow, run.mLeaseUntil);
    if (ends) {
      const bool fails = run.mProgram.mFail;
      End(run,
          fails ? TaskState::Failed : TaskState::Finished,
          fails ? TaskEventKind::Failed : TaskEventKind::Finished,
          *end);
    } else if (run.mLeaseUntil <= aNow) {
      End(run, TaskState::Stopped, TaskEventKind::Lapsed, run.mLeaseUntil);
    } else {
      UpdateProgress(run, aNow);
    }
  }
}

std::optional<Instant> TaskRunner::EndOf(const Run& aRun) const
{
  if (!aRun.mProgram.mRun) {
    return std::nullopt;
  }
  const Duration work = *aRun.mProgram.mRun - aRun.mDone;
  const auto remaining = static_cast<std::int64_t>(
    static_cast<double>(work.count()) / aRun.mFraction);
  return aRun.mUpdatedAt + std::max(Duration{}, Duration(remaining));
}

void TaskRunner::UpdateProgress(Run& aRun, Instant aUntil) const
{
  const Duration span = aUntil - aRun.mUpdatedAt;
  if (span <= Duration{}) {
    return;
  }
  aRun.mDone += Duration(static_cast<std::int64_t>(
    static_cast<double>(span.count()) * aRun.mFraction));
  Resources used = aRun.mProgram.mUsed;
  used.mMillicores = static_cast<std::int64_t>(
    static_cast<double>(used.mMillicores) * aRun.mFraction);
  aRun.mUsage.push_back({ aRun.mUpdatedAt + span / 2, used });
  aRun.mUpdatedAt = aUntil;
  // Only the newest sample older than the lag is reported.
  while (aRun.mUsage.size() > 1 &&
         aRun.mUsage[1].mMiddle + mSettings.mUsageLag <= aUntil) {
    aRun.mUsage.pop_front();
  }
}

void TaskRunner::End(Run& aRun,
                     TaskState aState,
                     TaskEventKind aKind,
                     Instant aAt)
{
  UpdateProgress(aRun, aAt);
  aRun.mStatus.mState = aState;
  if (aState != TaskState::Finished) {
    aRun.mStatus.mReason = std::string(ToString(aKind));
  }
  mEndedKeys.insert(aRun.mStatus.mKey);
  Record(aRun, aKind, aAt);
}

void TaskRunner::Record(const Run& aRun, TaskEventKind aKind, Instant aAt)
{
  mEvents.push_back({ aKind, aRun.mStatus.mKey, aAt, aRun.mDone });
}

WorkerView TaskRunner::View(Instant aNow)
{
  Advance(aNow);
  WorkerView view;
  view.mCapacity = mSettings.mCapacity;
  for (const auto& [key, run] : mRuns) {
    view.mTasks.push_back(run.mStatus);
    if (!run.mUsage.empty() &&
        run.mUsage.front().mMiddle + mSettings.mUsageLag <= aNow) {
      const Usage& usage = run.mUsage.front();
      view.mUsage.push_back({ key, usage.mUsed, aNow - usage.mMiddle });
    }
  }
  return view;
}

absl::Status TaskRunner::CheckStart(const TaskStart& aStart) const
{
  const auto highest = mHighest.find(aStart.mKey.mJob);
  if (highest != mHighest.end() && aStart.mKey.mEpoch < highest->second) {
    return NotRun(absl::FailedPreconditionError("stale-epoch"));
  }
  if (mEndedKeys.contains(aStart.mKey)) {
    return NotRun(absl::FailedPreconditionError("task-is-over"));
  }
  if (aStart.mProgram != kProgram || !ParseFakeProgram(aStart)) {
    return NotRun(
      absl::InvalidArgumentError("unknown program or invalid arguments"));
  }
  if (!aStart.mCheckpoint.empty() && !ParseCheckpoint(aStart.mCheckpoint)) {
    return NotRun(absl::InvalidArgumentError("invalid checkpoint"));
  }
  return absl::OkStatus();
}

absl::Status TaskRunner::Start(const TaskStart& aStart, Instant aNow)
{
  Advance(aNow);
  const TaskKey& key = aStart.mKey;
  if (mRuns.contains(key)) {
    return absl::OkStatus();
  }
  if (absl::Status status = CheckStart(aStart); !status.ok()) {
    return status;
  }
  mHighest[key.mJob] = key.mEpoch;
  mOverlapping += RunsOtherEpoch(key) ? 1 : 0;
  Run& run = mRuns[key];
  run.mStatus.mKey = key;
  run.mStatus.mCustomer = aStart.mCustomer;
  run.mStatus.mKind = aStart.mKind;
  run.mStatus.mReserved = aStart.mResources;
  run.mProgram = *ParseFakeProgram(aStart);
  run.mDone = ParseCheckpoint(aStart.mCheckpoint).value_or(Duration{});
  run.mUpdatedAt = aNow;
  run.mLeaseUntil = aNow + aStart.mLease;
  mOvercommitted += IsOvercommitted() ? 1 : 0;
  Record(run, TaskEventKind::Started, aNow);
  if (mFailAll) {
    End(run, TaskState::Failed, TaskEventKind::Failed, aNow);
  }
  return absl::OkStatus();
}

bool TaskRunner::RunsOtherEpoch(const TaskKey& aKey) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [&aKey](const auto& aEntry) {
    return aEntry.first.mJob == aKey.mJob && aEntry.first != aKey &&
           aEntry.second.mStatus.mState == TaskState::Running;
  });
}

bool TaskRunner::IsOvercommitted() const
{
  Resources sum;
  for (const auto& [key, run] : mRuns) {
    if (run.mStatus.mState == TaskState::Running) {
      sum += run.mStatus.mReserved;
    }
  }
  return !sum.FitsIn(mSettings.mCapacity);
}

absl::Status TaskRunner::Renew(std::span<const TaskKey> aKeys,
                               Duration aLease,
                               Instant aNow)
{
  Advance(aNow);
  for (const TaskKey& key : aKeys) {
    if (Run* const run = FindRunning(key)) {
      run->mLeaseUntil = aNow + aLease;
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string> TaskRunner::Checkpoint(const TaskKey& aKey,
                                                   Instant aNow)
{
  Advance(aNow);
  if (Run* const run = FindRunning(aKey)) {
    UpdateProgress(*run, aNow);
    run->mStatus.mCheckpoint = CheckpointText(aKey, run->mDone);
    End(*run, TaskState::Checkpointed, TaskEventKind::Checkpointed, aNow);
  }
  const auto found = mRuns.find(aKey);
  if (found == mRuns.end()) {
    return NoSuchTask();
  }
  const TaskStatus& status = found->second.mStatus;
  if (status.mState != TaskState::Checkpointed) {
    return NotRun(absl::FailedPreconditionError("the task has ended"));
  }
  return status.mCheckpoint;
}

absl::Status TaskRunner::Throttle(const TaskKey& aKey,
                                  double aFraction,
                                  Instant aNow)
{
  Advance(aNow);
  if (!(aFraction > 0.0 && aFraction <= 1.0)) {
    return NotRun(absl::InvalidArgumentError("fraction must be in (0, 1]"));
  }
  Run* const run = FindRunning(aKey);
  if (run == nullptr) {
    return NoSuchTask();
  }
  run->mFraction = aFraction;
  return absl::OkStatus();
}

absl::Status TaskRunner::Stop(const TaskKey& aKey, Instant aNow)
{
  Advance(aNow);
  if (Run* const run = FindRunning(aKey)) {
    End(*run, TaskState::Stopped, TaskEventKind::Stopped, aNow);
    return absl::OkStatus();
  }
  // A delayed start of this key must not run any more.
  mEndedKeys.insert(aKey);
  return mRuns.contains(aKey) ? absl::OkStatus() : NoSuchTask();
}

absl::Status TaskRunner::Acknowledge(std::span<const TaskKey> aKeys)
{
  for (const TaskKey& key : aKeys) {
    if (const auto run = mRuns.find(key);
        run != mRuns.end() &&
        run->second.mStatus.mState != TaskState::Running) {
      mRuns.erase(run);
    }
  }
  return absl::OkStatus();
}

TaskRunner::Run* TaskRunner::FindRunning(const TaskKey& aKey)
{
  const auto run = mRuns.find(aKey);
  if (run == mRuns.end() || run->second.mStatus.mState != TaskState::Running) {
    return nullptr;
  }
  return &run->second;
}

} // namespace foxtailbarrow::standin
