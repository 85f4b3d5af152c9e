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

/// How long a look waits for an end. Bounds the age of leases and figures.
constexpr Duration kLookWait = std::chrono::milliseconds(400);
/// How long an order is settled before the session is given up.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
constexpr Duration kSettlePause = std::chrono::milliseconds(20);
/// Between looks that the worker answers at once although they may wait.
constexpr Duration kShortestRound = std::chrono::milliseconds(25);
constexpr Duration kAfterFailure = std::chrono::milliseconds(50);
/// A pace without an answer is sent again at once: the next look may be late.
constexpr int kPaceTries = 2;
/// Crashes that are remembered for an owner that has not heard of them: at four
/// seconds a crash, those of the last half minute.
constexpr std::size_t kCrashesKept = 8;
/// Fences of a session: the session's number and those after it.
constexpr cell::Fence kFencesOfSession = 255;

} // namespace

WorkerControl::WorkerControl(cell::TaskWorker& aWorker,
                             std::function<void()> aOnNews)
  : mWorker(aWorker)
  , mOnNews(std::move(aOnNews))
{
}

bool WorkerControl::TakeInfo(const cell::WorkerInfo& aInfo)
{
  if (aInfo == mInfo) {
    return false;
  }
  if (aInfo.mIncarnation != mInfo.mIncarnation) {
    LogChange("worker-incarnation",
              { { "incarnation", aInfo.mIncarnation },
                { "before", mInfo.mIncarnation },
                { "ran", mBook.Running().size() },
                { "answerAgeMs",
                  WholeMilliseconds(MonotonicNow() - mLiveness.AliveAt()) } });
    if (!mLiveness.Ended()) {
      NoteCrash();
    }
    mWorker.Expect(aInfo.mIncarnation);
    mBook.Reset();
    mLease.ForgetWorker();
    mGovernor = cell::PaceGovernor();
    mLiveness.Begin(MonotonicNow());
  }
  if (aInfo.mDraining != mInfo.mDraining) {
    LogChange("worker-draining",
              { { "incarnation", aInfo.mIncarnation },
                { "draining", aInfo.mDraining ? 1 : 0 } });
  }
  mInfo = aInfo;
  return true;
}

/// The incarnation is gone. Unless it had said that it leaves, it has crashed.
void WorkerControl::NoteCrash()
{
  if (mInfo.mIncarnation.Empty() || mInfo.mDraining) {
    return;
  }
  if (auto crash = mBook.CrashAfter(mLiveness.AliveAt());
      !crash.mRuns.empty()) {
    mCrashes.push_back(std::move(crash));
  }
  if (mCrashes.size() > kCrashesKept) {
    mCrashes.pop_front();
  }
}

bool WorkerControl::IsThere(const cell::WorkerIncarnation& aIncarnation)
{
  const auto there = mWorker.IsThere(aIncarnation, mFence, kLookTimeout);
  LogChange("other-incarnation",
            { { "incarnation", aIncarnation },
              { "current", mInfo.mIncarnation },
              { "outcome",
                !there.ok() ? there.status().ToString()
                : *there    ? "there"
                            : "replaced" } });
  return there.ok() && *there;
}

absl::StatusOr<cell::WorkerState> WorkerControl::Attach(cell::Session aSession)
{
  if (mInfo.mIncarnation.Empty()) {
    return absl::UnavailableError("the worker has not told about itself yet");
  }
  if (aSession <= mSession) {
    return absl::FailedPreconditionError("an older session");
  }
  mSession = aSession;
  mBegun = false;
  mOrdersDone = 0;
  mFence = aSession;
  const cell::WorkerIncarnation incarnation = mInfo.mIncarnation;
  if ((!Settle(aSession) && !mLiveness.Ended()) ||
      incarnation != mInfo.mIncarnation) {
    return absl::UnavailableError("the worker does not answer");
  }
  mBook.NoteAllSettled();
  mBegun = true;
  return Snapshot().mState;
}

bool WorkerControl::Settle(cell::Session aSession)
{
  const std::lock_guard lock(mSettling);
  const Instant end = MonotonicNow() + kSettleTime;
  while (MonotonicNow() < end && aSession == mSession &&
         mFence < aSession + kFencesOfSession) {
    const cell::Fence fence = ++mFence;
    // The look of a fence that was raised meanwhile is not in the book.
    const auto reply = LookOnce(Duration::zero(), false);
    if (reply.ok() && fence == mFence) {
      return aSession == mSession;
    }
    if (!reply.ok()) {
      NoteFailedLook(reply.status());
    }
    if (mLiveness.Ended()) {
      return false; // What was sent may have run before.
    }
    boost::this_fiber::sleep_for(kSettlePause);
  }
  return false;
}

void WorkerControl::TakeGrant(cell::Session aSession,
                              Instant aSentAt,
                              Duration aGrant,
                              std::int64_t aAcknowledged)
{
  if (aSession != mSession) {
    return;
  }
  mLease.Extend(aSentAt, aGrant);
  mBook.Acknowledge(aAcknowledged);
}

absl::StatusOr<cell::LookReply> WorkerControl::LookOnce(Duration aWait,
                                                        bool aExtend)
{
  const Instant sentAt = MonotonicNow();
  const cell::WorkerIncarnation incarnation = mInfo.mIncarnation;
  const cell::Fence fence = mFence;
  cell::LookCall call;
  call.mFence = fence;
  call.mAcknowledged = mBook.Acknowledged();
  call.mWait = aWait;
  if (aExtend) {
    call.mLeaseEnd = mLease.LeaseEnd(sentAt);
  }
  auto reply = mWorker.Look(call, aWait + kLookTimeout);
  const Instant now = MonotonicNow();
  if (incarnation != mInfo.mIncarnation) {
    return absl::AbortedError("the worker was replaced");
  }
  if (!reply.ok()) {
    return reply;
  }
  mLease.SampleClock(reply->mClock, now);
  const bool ended = mLiveness.Ended();
  if (!mLiveness.NoteLook(now)) {
    LogChange("worker-answers",
              { { "incarnation", incarnation }, { "ended", ended ? 1 : 0 } });
  }
  // An answer to an older fence may be older than what is known.
  if (fence == mFence && mBook.TakeLook(*reply, sentAt, now)) {
    mOnNews();
  }
  return reply;
}

void WorkerControl::Greet()
{
  if (mLease.KnowsClock()) {
    return;
  }
  if (const auto reply = LookOnce(Duration::zero(), false); !reply.ok()) {
    LogWarning("worker-not-greeted",
               { { "incarnation", mInfo.mIncarnation },
                 { "error", reply.status().ToString() } });
  }
}

Duration WorkerControl::Look()
{
  if (mInfo.mIncarnation.Empty() || mSession == 0) {
    return kAfterFailure;
  }
  const Instant sentAt = MonotonicNow();
  // While the worker is silent, leases are not extended: the owner waits for
  // the end of the last one.
  const auto reply = LookOnce(kLookWait, mLiveness.Answers());
  if (!reply.ok()) {
    NoteFailedLook(reply.status());
    return kAfterFailure;
  }
  const Instant now = MonotonicNow();
  SetPaces();
  return now - sentAt < kShortestRound ? kShortestRound : Duration(1);
}

void WorkerControl::NoteFailedLook(const absl::Status& aStatus)
{
  const cell::LivenessNews news =
    mLiveness.NoteFailedLook(net::IsConnectionRefused(aStatus), MonotonicNow());
  if (news == cell::LivenessNews::None) {
    return;
  }
  const bool ended = news == cell::LivenessNews::Ended;
  if (ended) {
    NoteCrash();
  }
  LogWarning(ended ? "worker-ended" : "worker-silent",
             { { "incarnation", mInfo.mIncarnation },
               { "answerAgeMs",
                 WholeMilliseconds(MonotonicNow() - mLiveness.AliveAt()) },
               { "error", aStatus.ToString() } });
  mOnNews();
}

void WorkerControl::SetPaces()
{
  const std::vector<cell::RunningTask> running = mBook.Running();
  const Instant now = MonotonicNow();
  mPaceLog.NoteLook(now);
  const std::vector<cell::PaceChange> changes = mGovernor.Judge(running, now);
  mPaceLog.NoteOver(mGovernor.OverTargets(now), now);
  mPaceLog.NoteUnknown(mGovernor.UnknownTasks(), now);
  if (mUnknownTasks.Take(mGovernor.UnknownTasks() > 0, now)) {
    mBegun = false;
    mOnNews();
  }
  for (const bool raises : { false, true }) {
    SendPaces(changes, raises);
  }
}

/// Side by side: without answers, one after the other would take a time-out
/// each, and no look is taken meanwhile.
void WorkerControl::SendPaces(std::span<const cell::PaceChange> aChanges,
                              bool aRaises)
{
  std::vector<boost::fibers::fiber> calls;
  for (const cell::PaceChange& change : aChanges) {
    if (change.mRaises == aRaises) {
      calls.emplace_back([this, &change] { SendPace(change); });
    }
  }
  for (boost::fibers::fiber& call : calls) {
    call.join();
  }
}

void WorkerControl::SendPace(const cell::PaceChange& aChange)
{
  for (int attempt = 0; attempt < kPaceTries; ++attempt) {
    const cell::Fence fence = mFence;
    const absl::Status status = mWorker.Pace(
      { aChange.mTask, aChange.mRun, aChange.mPercent, fence }, kOrderTimeout);
    mPaceLog.NotePace(aChange, fence, status);
    if (status.ok()) {
      mGovernor.NotePaced(aChange);
      return;
    }
    if (VerdictOf(status) != Verdict::MayHaveRun) {
      return;
    }
    mGovernor.NoteUnanswered(aChange);
    RaiseFence(fence);
  }
}

void WorkerControl::RaiseFence(cell::Fence aUsed)
{
  if (mFence != aUsed) {
    return;
  }
  if (mFence < mSession + kFencesOfSession) {
    ++mFence;
  } else {
    mBegun = false;
  }
}

WorkerSnapshot WorkerControl::Snapshot() const
{
  WorkerSnapshot snapshot;
  snapshot.mState.mInfo = mInfo;
  if (!mLiveness.Ended()) {
    snapshot.mState.mRunning = mBook.Running();
  }
  snapshot.mState.mEnded = mBook.Ended();
  snapshot.mState.mCrashes = { mCrashes.begin(), mCrashes.end() };
  snapshot.mAnswers = mLiveness.Answers();
  snapshot.mEnded = mLiveness.Ended();
  snapshot.mOrdersDone = mOrdersDone;
  const Instant now = MonotonicNow();
  snapshot.mAnsweredAt = mLiveness.AliveAt().time_since_epoch();
  snapshot.mLeaseLeft = mLease.LeaseLeft(now);
  return snapshot;
}

} // namespace foxtailbarrow::taskagent
