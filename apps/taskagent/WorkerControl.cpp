#include "apps/taskagent/WorkerControl.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "absl/status/status.h"

#include "apps/taskagent/WorkerTimeouts.h"
#include "foxtailbarrow/Verdict.h"
#include "src/net/ConnectionRefused.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::taskagent {

namespace {

/// How long a poll waits for the end of a task. Bounds the age of leases and
/// load figures.
constexpr Duration kPollWait = std::chrono::milliseconds(400);
/// After this time without settling an order, the session is given up.
constexpr Duration kSettleTimeout = std::chrono::milliseconds(1500);
constexpr Duration kSettlePause = std::chrono::milliseconds(20);
/// Shortest interval of polls, for a worker that answers them without waiting.
constexpr Duration kMinPollInterval = std::chrono::milliseconds(25);
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
/// A throttle call without an answer is repeated at once, since the next poll
/// may be late.
constexpr int kThrottleAttempts = 2;
/// Crashes kept for an owner that does not know of them. At four seconds per
/// crash, these are the ones of the last half minute.
constexpr std::size_t kMaxCrashes = 8;
/// Fences of a session are its number and this many numbers after it.
constexpr cell::Fence kFencesPerSession = 255;

} // namespace

WorkerControl::WorkerControl(cell::TaskWorker& aWorker,
                             std::function<void()> aOnChange)
  : mWorker(aWorker)
  , mOnChange(std::move(aOnChange))
{
}

bool WorkerControl::UpdateInfo(const cell::WorkerInfo& aInfo)
{
  if (aInfo == mInfo) {
    return false;
  }
  if (aInfo.mIncarnation != mInfo.mIncarnation) {
    LogChange(
      "worker-incarnation",
      { { "incarnation", ToString(aInfo.mIncarnation) },
        { "before", ToString(mInfo.mIncarnation) },
        { "ran", mStateTracker.Running().size() },
        { "answerAgeMs",
          WholeMilliseconds(MonotonicNow() - mLiveness.LastAnswerAt()) } });
    if (!mLiveness.Ended()) {
      RecordCrash();
    }
    mWorker.Expect(aInfo.mIncarnation);
    mStateTracker.Reset();
    mLease.ResetWorker();
    mThrottleController = cell::ThrottleController();
    mLiveness.Begin(MonotonicNow());
    ++mIncarnations;
    // A late order to the earlier incarnation must not be carried out by this
    // one, which has received no fence.
    RaiseFence(mFence);
  }
  if (aInfo.mDraining != mInfo.mDraining) {
    LogChange("worker-draining",
              { { "incarnation", ToString(aInfo.mIncarnation) },
                { "draining", aInfo.mDraining ? 1 : 0 } });
  }
  mInfo = aInfo;
  return true;
}

/// The incarnation has ended. Unless it announced that it leaves, it has
/// crashed.
void WorkerControl::RecordCrash()
{
  if (mInfo.mIncarnation.Empty() || mInfo.mDraining) {
    return;
  }
  if (auto crash = mStateTracker.CrashAfter(mLiveness.LastAnswerAt());
      !crash.mRuns.empty()) {
    mCrashes.push_back(std::move(crash));
  }
  if (mCrashes.size() > kMaxCrashes) {
    mCrashes.pop_front();
  }
}

bool WorkerControl::IsPresent(const cell::WorkerIncarnation& aIncarnation)
{
  const auto present = mWorker.IsPresent(aIncarnation, mFence, kPollTimeout);
  LogChange("other-incarnation",
            { { "incarnation", ToString(aIncarnation) },
              { "current", ToString(mInfo.mIncarnation) },
              { "outcome",
                !present.ok() ? present.status().ToString()
                : *present    ? "there"
                              : "replaced" } });
  return present.ok() && *present;
}

bool WorkerControl::HasEnded()
{
  const auto present =
    mWorker.IsPresent(mInfo.mIncarnation, mFence, kPollTimeout);
  return present.ok() ? !*present && mLease.HasClockSample()
                      : net::IsConnectionRefused(present.status());
}

void WorkerControl::OnCordonNotice(const cell::CordonNotice& aNotice)
{
  if (mCordonGate.Apply(aNotice)) {
    LogChange("cordon",
              { { "domain", mInfo.mFailureDomain },
                { "cordoned", aNotice.mCordoned ? 1 : 0 },
                { "session", aNotice.mSession } });
  }
}

absl::StatusOr<cell::WorkerState> WorkerControl::Attach(cell::Session aSession)
{
  if (mInfo.mIncarnation.Empty()) {
    return absl::UnavailableError(
      "no heartbeat was received from the worker yet");
  }
  if (aSession <= mSession) {
    return absl::FailedPreconditionError(
      "the session is not newer than the current one");
  }
  mSession = aSession;
  mCordonGate.BeginSession(aSession);
  mSessionReady = false;
  mOrdersDone = 0;
  mFence = aSession;
  const cell::WorkerIncarnation incarnation = mInfo.mIncarnation;
  if ((!Settle(aSession) && !mLiveness.Ended()) ||
      incarnation != mInfo.mIncarnation) {
    return absl::UnavailableError("the worker does not answer");
  }
  mStateTracker.OnAllSettled();
  mSessionReady = true;
  return Snapshot().mState;
}

bool WorkerControl::Settle(cell::Session aSession)
{
  const std::lock_guard lock(mSettleMutex);
  const Instant end = MonotonicNow() + kSettleTimeout;
  while (MonotonicNow() < end && aSession == mSession &&
         mFence < aSession + kFencesPerSession) {
    const cell::Fence fence = ++mFence;
    // If the fence was raised meanwhile, the reply was not applied.
    const auto reply = PollOnce(Duration::zero(), false);
    if (reply.ok() && fence == mFence) {
      return aSession == mSession;
    }
    if (!reply.ok()) {
      OnPollFailed(reply.status());
    }
    if (mLiveness.Ended()) {
      return false; // The order may have run before the worker ended.
    }
    boost::this_fiber::sleep_for(kSettlePause);
  }
  return false;
}

void WorkerControl::OnGrant(cell::Session aSession,
                            Instant aSentAt,
                            Duration aGrant,
                            std::int64_t aAcknowledged)
{
  if (aSession != mSession) {
    return;
  }
  mLease.Extend(aSentAt, aGrant);
  mStateTracker.Acknowledge(aAcknowledged);
}

absl::StatusOr<cell::PollReply> WorkerControl::PollOnce(Duration aWait,
                                                        bool aExtend)
{
  const Instant sentAt = MonotonicNow();
  const cell::WorkerIncarnation incarnation = mInfo.mIncarnation;
  const cell::Fence fence = mFence;
  cell::PollCall call;
  call.mFence = fence;
  call.mAcknowledged = mStateTracker.Acknowledged();
  call.mWait = aWait;
  if (aExtend) {
    call.mLeaseEnd = mLease.LeaseEnd(sentAt);
  }
  auto reply = mWorker.Poll(call, aWait + kPollTimeout);
  const Instant now = MonotonicNow();
  if (incarnation != mInfo.mIncarnation) {
    return absl::CancelledError("the worker was replaced during the poll");
  }
  if (!reply.ok()) {
    return reply;
  }
  if (std::exchange(mUnreadableRows, reply->mUnreadable) !=
      reply->mUnreadable) {
    LogWarning("worker-rows-unreadable",
               { { "incarnation", ToString(incarnation) },
                 { "rows", reply->mUnreadable } });
  }
  mLease.SampleClock(reply->mClock, now);
  const bool ended = mLiveness.Ended();
  if (!mLiveness.OnPoll(now)) {
    LogChange(
      "worker-answers",
      { { "incarnation", ToString(incarnation) }, { "ended", ended ? 1 : 0 } });
  }
  // The reply to a poll under an older fence may be outdated.
  if (fence == mFence && mStateTracker.OnPoll(*reply, sentAt, now)) {
    mOnChange();
  }
  return reply;
}

void WorkerControl::PollFirst()
{
  if (mLease.HasClockSample()) {
    return;
  }
  if (const auto reply = PollOnce(Duration::zero(), false); !reply.ok()) {
    LogWarning("worker-not-greeted",
               { { "incarnation", ToString(mInfo.mIncarnation) },
                 { "error", reply.status().ToString() } });
  }
}

Duration WorkerControl::Poll()
{
  if (mInfo.mIncarnation.Empty() || mSession == 0) {
    return kRetryPause;
  }
  const Instant sentAt = MonotonicNow();
  // While the worker is silent, its leases are not extended: the owner waits
  // for the last one to expire.
  const auto reply = PollOnce(kPollWait, mLiveness.Answers());
  if (!reply.ok()) {
    OnPollFailed(reply.status());
    return kRetryPause;
  }
  const Instant now = MonotonicNow();
  UpdateThrottles();
  return now - sentAt < kMinPollInterval ? kMinPollInterval : Duration(1);
}

void WorkerControl::OnPollFailed(const absl::Status& aStatus)
{
  // Aborted: another incarnation answers. One that never answered before may be
  // the earlier of the two, known by a late heartbeat.
  const bool ends = net::IsConnectionRefused(aStatus) ||
                    (absl::IsAborted(aStatus) && mLease.HasClockSample());
  const cell::LivenessChange change =
    mLiveness.OnPollFailed(ends, MonotonicNow());
  if (change == cell::LivenessChange::None) {
    return;
  }
  const bool ended = change == cell::LivenessChange::Ended;
  if (ended) {
    RecordCrash();
  }
  LogWarning(ended ? "worker-ended" : "worker-silent",
             { { "incarnation", ToString(mInfo.mIncarnation) },
               { "answerAgeMs",
                 WholeMilliseconds(MonotonicNow() - mLiveness.LastAnswerAt()) },
               { "error", aStatus.ToString() } });
  mOnChange();
}

void WorkerControl::UpdateThrottles()
{
  const std::vector<cell::RunningTask> running = mStateTracker.Running();
  const Instant now = MonotonicNow();
  mThrottleLog.OnPoll(now);
  const std::vector<cell::ThrottleChange> changes =
    mThrottleController.Update(running, now);
  mThrottleLog.LogOverTarget(mThrottleController.OverTargets(now), now);
  mThrottleLog.LogUnknownTasks(mThrottleController.UnknownTasks(), now);
  if (mUnknownTaskTimer.Update(mThrottleController.UnknownTasks() > 0, now)) {
    mSessionReady = false;
    mOnChange();
  }
  for (const bool raises : { false, true }) {
    SendThrottles(changes, raises);
  }
}

/// Sends the calls concurrently. Otherwise each call without an answer would
/// delay the others, and the next poll, by its timeout.
void WorkerControl::SendThrottles(
  std::span<const cell::ThrottleChange> aChanges,
  bool aRaises)
{
  std::vector<boost::fibers::fiber> calls;
  for (const cell::ThrottleChange& change : aChanges) {
    if (change.mRaises == aRaises) {
      calls.emplace_back([this, &change] { SendThrottle(change); });
    }
  }
  for (boost::fibers::fiber& call : calls) {
    call.join();
  }
}

void WorkerControl::SendThrottle(const cell::ThrottleChange& aChange)
{
  for (int attempt = 0; attempt < kThrottleAttempts; ++attempt) {
    const cell::Fence fence = mFence;
    const absl::Status status = mWorker.Throttle(
      { aChange.mTask, aChange.mRun, aChange.mPercent, fence }, kOrderTimeout);
    mThrottleLog.LogThrottle(aChange, fence, status);
    if (status.ok()) {
      mThrottleController.OnThrottled(aChange);
      return;
    }
    if (absl::IsDeadlineExceeded(status) &&
        VerdictOf(status) == Verdict::NotRun) {
      continue; // The check of a new connection got no answer.
    }
    if (VerdictOf(status) != Verdict::MayHaveRun) {
      return;
    }
    mThrottleController.OnUnanswered(aChange);
    RaiseFence(fence);
  }
}

void WorkerControl::RaiseFence(cell::Fence aUsed)
{
  if (mFence != aUsed) {
    return;
  }
  if (mFence < mSession + kFencesPerSession) {
    ++mFence;
  } else {
    mSessionReady = false;
  }
}

WorkerSnapshot WorkerControl::Snapshot() const
{
  WorkerSnapshot snapshot;
  snapshot.mState.mInfo = mInfo;
  if (!mLiveness.Ended()) {
    snapshot.mState.mRunning = mStateTracker.Running();
  }
  snapshot.mState.mEnded = mStateTracker.Ended();
  snapshot.mState.mCrashes = { mCrashes.begin(), mCrashes.end() };
  snapshot.mAnswers = mLiveness.Answers();
  snapshot.mEnded = mLiveness.Ended();
  snapshot.mOrdersDone = mOrdersDone;
  const Instant now = MonotonicNow();
  snapshot.mAnsweredAt = mLiveness.LastAnswerAt().time_since_epoch();
  snapshot.mLeaseLeft = mLease.LeaseLeft(now);
  return snapshot;
}

} // namespace foxtailbarrow::taskagent
