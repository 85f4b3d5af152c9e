#include "apps/scheduler/CellOwner.h"

#include <chrono>
#include <utility>

#include "src/core/cell/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

constexpr Duration kAttachTimeout = std::chrono::milliseconds(2000);
constexpr Duration kAttachRetry = std::chrono::milliseconds(150);
/// Longer than an agent needs to settle orders that the worker did not answer.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(2500);
constexpr Duration kOrderWait = std::chrono::milliseconds(200);
/// Three reports missed.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1400);
/// A report may have been sent so long before an attachment that it follows.
/// The agent's own timeout of reports.
constexpr Duration kReportTime = std::chrono::milliseconds(700);
/// Between two words to an agent on what disturbs what: it is learned over
/// seconds, and the agent keeps the last word.
constexpr Duration kPressureInterval = std::chrono::seconds(1);
/// An agent that is gone for so long is no longer asked for.
constexpr Duration kForgetAfter = std::chrono::seconds(20);
/// The high part of a session is its generation, so that sessions rise over
/// owners; the low part is left to the agent for fences of its own.
constexpr int kGenerationShift = 32;
constexpr int kSessionShift = 8;

} // namespace

ReportReply CellOwner::OnReport(const ReportRequest& aReport)
{
  const Instant begin = MonotonicNow();
  mLoad.NoteReport();
  mLoad.NoteWait(OwnerWait::Report, aReport.mReplyTook);
  ReportReply reply = TakeReport(aReport);
  mLoad.NoteWork(OwnerWork::Reports, MonotonicNow() - begin);
  return reply;
}

ReportReply CellOwner::TakeReport(const ReportRequest& aReport)
{
  ++mFigures.mReports;
  ReportReply reply;
  reply.mOwner = true;
  reply.mGeneration = mTerm.OwnGeneration();
  Desk& desk = DeskOf(aReport.mAgent, aReport.mEndpoint);
  desk.mHeardAt = MonotonicNow();
  desk.mWorkerGone = aReport.mState.mInfo.mGone;
  reply.mAttached = mLogic.TakeReport(aReport, Clock());
  if (!reply.mAttached) {
    const bool overtaken = MonotonicNow() - desk.mAttachedAt < kReportTime;
    if (Attached(aReport.mAgent) && !overtaken) {
      Detach(aReport.mAgent); // It restarted and knows of no session.
    }
    desk.mPoke.Now();
    return reply;
  }
  reply.mSendWhole = mLogic.SendsWhole(aReport.mAgent);
  const Instant now = MonotonicNow();
  reply.mGrant = mTerm.GrantAt(now);
  mLogic.NoteGrant(aReport.mAgent, now + reply.mGrant);
  reply.mAcknowledged = mLogic.Acknowledged(aReport.mAgent);
  if (now - desk.mPressuresAt >= kPressureInterval) {
    desk.mPressuresAt = now;
    reply.mPressures = mLogic.PressuresOn(aReport.mAgent);
  }
  // Most reports bring nothing that a round of placing could answer.
  if (mLogic.PlacingChanged()) {
    mSchedulePoke.Now();
  }
  if (mLogic.HasUnrecorded()) {
    mRecordPoke.Now();
  }
  if (mLogic.HasOrders(aReport.mAgent)) {
    desk.mPoke.Now();
  }
  return reply;
}

CellOwner::Desk& CellOwner::DeskOf(const AgentId& aAgent,
                                   const Endpoint& aEndpoint)
{
  auto& desk = mDesks[aAgent];
  if (!desk) {
    desk = std::make_unique<Desk>();
    desk->mHeardAt = MonotonicNow();
    mParts.mRuntime.Spawn([self = shared_from_this(), aAgent, &desk = *desk] {
      self->RunDesk(aAgent, desk);
    });
  }
  if (desk->mEndpoint != aEndpoint) {
    desk->mRecorded = false;
    desk->mEndpoint = aEndpoint;
  }
  return *desk;
}

bool CellOwner::Attached(const AgentId& aAgent) const
{
  const auto found = mLogic.Workers().find(aAgent);
  return found != mLogic.Workers().end() &&
         found->second.mLink == WorkerLink::Attached;
}

void CellOwner::Detach(const AgentId& aAgent)
{
  mLogic.DetachWorker(aAgent, Clock());
  mSchedulePoke.Now();
}

void CellOwner::RunDesk(const AgentId& aAgent, Desk& aDesk)
{
  while (!mEnded) {
    if (MonotonicNow() - aDesk.mHeardAt > kForgetAfter) {
      ForgetAgent(aAgent, aDesk);
      return;
    }
    const Duration pause =
      Attached(aAgent) ? OrderRound(aAgent, aDesk) : AttachRound(aAgent, aDesk);
    if (!mEnded && pause > Duration::zero()) {
      aDesk.mPoke.Wait(pause);
    }
  }
}

/// An agent may run tasks only after the store names it, so that the next owner
/// knows whom to ask.
bool CellOwner::RecordAgent(const AgentId& aAgent, Desk& aDesk)
{
  if (aDesk.mRecorded) {
    return true;
  }
  const Endpoint endpoint = aDesk.mEndpoint;
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mWrites.push_back(
    { AgentKey(aAgent), ToJsonText(AgentContact{ endpoint }) });
  const auto result = mParts.mStore.Commit(transaction);
  aDesk.mRecorded =
    result.ok() && result->mApplied && endpoint == aDesk.mEndpoint;
  if (aDesk.mRecorded) {
    aDesk.mRecordRevision = result->mRevision;
  }
  return aDesk.mRecorded;
}

/// The next owner waits for every agent that has a record, even for one that
/// has left.
void CellOwner::RemoveRecord(const AgentId& aAgent, Desk& aDesk)
{
  if (!std::exchange(aDesk.mRecorded, false)) {
    return;
  }
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mCompares.push_back({ AgentKey(aAgent), aDesk.mRecordRevision });
  transaction.mWrites.push_back({ AgentKey(aAgent), std::nullopt });
  const auto result = mParts.mStore.Commit(transaction);
  LogChange("agent-record-removed",
            { { "agent", aAgent },
              { "revision", aDesk.mRecordRevision },
              { "outcome",
                !result.ok()       ? result.status().ToString()
                : result->mApplied ? "ok"
                                   : "changed" } });
}

void CellOwner::ForgetAgent(const AgentId& aAgent, Desk& aDesk)
{
  LogChange("agent-forgotten", { { "agent", aAgent } });
  RemoveRecord(aAgent, aDesk);
  mDesks.erase(aAgent);
}

Duration CellOwner::AttachRound(const AgentId& aAgent, Desk& aDesk)
{
  if (mLogic.RunsNothing(aAgent)) {
    RemoveRecord(aAgent, aDesk);
    if (aDesk.mWorkerGone || MonotonicNow() - aDesk.mHeardAt > kSilentAfter) {
      return kOrderWait; // Until its agent reports a worker.
    }
  }
  if (!RecordAgent(aAgent, aDesk)) {
    return kAttachRetry;
  }
  const Session session = NextSession();
  const auto reply = net::CallTyped<AttachReply>(
    mParts.mRpc,
    aDesk.mEndpoint,
    kAttachMethod,
    AttachRequest{ mTerm.OwnGeneration(), session, mParts.mSelf },
    kAttachTimeout);
  if (mEnded) {
    return Duration::zero();
  }
  if (!reply.ok()) {
    LogDebug("attach-failed",
             { { "agent", aAgent }, { "error", reply.status().ToString() } });
    return kAttachRetry;
  }
  if (!reply->mAttached) {
    LogWarning("attach-refused",
               { { "agent", aAgent }, { "generation", reply->mGeneration } });
    return kAttachRetry;
  }
  aDesk.mHeardAt = MonotonicNow();
  aDesk.mAttachedAt = aDesk.mHeardAt;
  aDesk.mPressuresAt = {}; // It may have started anew.
  mLogic.AttachWorker(aAgent, aDesk.mEndpoint, session, reply->mState, Clock());
  mSchedulePoke.Now();
  return Duration::zero();
}

Duration CellOwner::OrderRound(const AgentId& aAgent, Desk& aDesk)
{
  if (MonotonicNow() - aDesk.mHeardAt > kSilentAfter) {
    Detach(aAgent);
    return Duration::zero();
  }
  const OrderRequest orders = mLogic.TakeOrders(aAgent);
  if (mLogic.HasUnrecorded()) {
    mRecordPoke.Now();
  }
  if (orders.mStarts.empty() && orders.mStops.empty() &&
      orders.mTraits.empty()) {
    return kOrderWait;
  }
  const Instant oldest = mLogic.OrderedAt(orders).value_or(MonotonicNow());
  ++mFigures.mOrders;
  mFigures.mStarts += orders.mStarts.size();
  const auto reply = net::CallTyped<OrderReply>(
    mParts.mRpc, aDesk.mEndpoint, kOrderMethod, orders, kOrderTimeout);
  if (mEnded) {
    return Duration::zero();
  }
  if (!reply.ok() || !reply->mAccepted) {
    LogWarning(
      "orders-unsettled",
      { { "agent", aAgent },
        { "session", orders.mSession },
        { "starts", orders.mStarts.size() },
        { "error", reply.ok() ? "not accepted" : reply.status().ToString() } });
    // Only the session that the orders were sent in is in doubt.
    if (const auto worker = mLogic.Workers().find(aAgent);
        worker != mLogic.Workers().end() &&
        worker->second.mSession == orders.mSession) {
      Detach(aAgent);
    }
    return Duration::zero();
  }
  mLoad.NoteWait(OwnerWait::Order, MonotonicNow() - oldest);
  mLogic.TakeStartResults(aAgent, orders.mSession, reply->mStarts, Clock());
  mSchedulePoke.Now();
  return Duration::zero();
}

Session CellOwner::NextSession()
{
  return (mTerm.OwnGeneration() << kGenerationShift) +
         (++mSessions << kSessionShift);
}

} // namespace foxtailbarrow::scheduler
