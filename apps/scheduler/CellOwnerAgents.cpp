#include "apps/scheduler/CellOwner.h"

#include <chrono>
#include <utility>

#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

constexpr Duration kAttachTimeout = std::chrono::milliseconds(2000);
constexpr Duration kAttachRetry = std::chrono::milliseconds(150);
/// Longer than an agent needs to settle orders that its worker did not answer.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(2500);
constexpr Duration kOrderWait = std::chrono::milliseconds(200);
/// Three missed reports.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1400);
/// The agent's timeout of reports. A report received within this time after an
/// attachment may have been sent before it.
constexpr Duration kReportTimeout = std::chrono::milliseconds(700);
/// Interval of sending interference weights to an agent. They are learned over
/// seconds, and the agent keeps the last ones.
constexpr Duration kWeightsInterval = std::chrono::seconds(1);
/// An agent that has been unreachable for this long is no longer contacted.
constexpr Duration kForgetAfter = std::chrono::seconds(20);
/// The high bits of a session are the generation, so that sessions increase
/// from owner to owner. The agent uses the low bits for its fences.
constexpr int kGenerationShift = 32;
constexpr int kSessionShift = 8;

} // namespace

ReportReply CellOwner::OnReport(const ReportRequest& aReport)
{
  const Instant begin = MonotonicNow();
  mLoad.RecordReport();
  mLoad.RecordWait(OwnerWait::Report, aReport.mReplyTook);
  ReportReply reply = HandleReport(aReport);
  mLoad.RecordWork(OwnerWork::Reports, MonotonicNow() - begin);
  return reply;
}

ReportReply CellOwner::HandleReport(const ReportRequest& aReport)
{
  ++mCounters.mReports;
  ReportReply reply;
  reply.mOwner = true;
  reply.mGeneration = mTerm.OwnGeneration();
  AgentLink& link = AgentLinkOf(aReport.mAgent, aReport.mEndpoint);
  link.mLastContactAt = MonotonicNow();
  link.mWorkerLeft = aReport.mState.mInfo.mLeft;
  reply.mAttached = mLogic.HandleReport(aReport, Clock());
  if (!reply.mAttached) {
    const bool sentBefore = MonotonicNow() - link.mAttachedAt < kReportTimeout;
    if (Attached(aReport.mAgent) && !sentBefore) {
      Detach(aReport.mAgent); // The agent restarted without a session.
    }
    link.mWaker.Wake();
    return reply;
  }
  reply.mSendFullState = mLogic.NeedsFullState(aReport.mAgent);
  const Instant now = MonotonicNow();
  reply.mGrant = mTerm.GrantAt(now);
  mLogic.OnGrant(aReport.mAgent, now + reply.mGrant);
  reply.mAcknowledged = mLogic.Acknowledged(aReport.mAgent);
  if (now - link.mWeightsSentAt >= kWeightsInterval) {
    link.mWeightsSentAt = now;
    reply.mInterferenceWeights = mLogic.InterferenceWeightsOn(aReport.mAgent);
  }
  // Most reports need no placement round.
  if (mLogic.NeedsPlacement()) {
    mScheduleWaker.Wake();
  }
  if (mLogic.HasUnsavedJobs()) {
    mSaveWaker.Wake();
  }
  if (mLogic.HasOrders(aReport.mAgent)) {
    link.mWaker.Wake();
  }
  return reply;
}

CellOwner::AgentLink& CellOwner::AgentLinkOf(const AgentId& aAgent,
                                             const Endpoint& aEndpoint)
{
  auto& link = mAgentLinks[aAgent];
  if (!link) {
    link = std::make_unique<AgentLink>();
    link->mLastContactAt = MonotonicNow();
    mParts.mRuntime.Spawn([self = shared_from_this(), aAgent, &link = *link] {
      self->RunAgentLink(aAgent, link);
    });
  }
  if (link->mEndpoint != aEndpoint) {
    link->mSaved = false;
    link->mEndpoint = aEndpoint;
  }
  return *link;
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
  mScheduleWaker.Wake();
}

void CellOwner::RunAgentLink(const AgentId& aAgent, AgentLink& aLink)
{
  while (!mEnded) {
    if (MonotonicNow() - aLink.mLastContactAt > kForgetAfter &&
        !aLink.mRecordInFlight && mLogic.TasksToAwait(aAgent).empty()) {
      ForgetAgent(aAgent, aLink);
      return;
    }
    UpdateAgentRecord(aAgent, aLink);
    const Duration pause =
      Attached(aAgent) ? OrderRound(aAgent, aLink) : AttachRound(aAgent, aLink);
    if (!mEnded && pause > Duration::zero()) {
      aLink.mWaker.Wait(pause);
    }
  }
}

absl::StatusOr<AttachReply> CellOwner::CallAttach(const Endpoint& aAgent,
                                                  Session aSession)
{
  const AttachRequest request{ mTerm.OwnGeneration(), aSession, mParts.mSelf };
  auto reply = net::CallTyped<AttachReply>(
    mParts.mRpc, aAgent, kAttachWithStartTimeMethod, request, kAttachTimeout);
  if (!absl::IsUnimplemented(reply.status())) {
    return reply;
  }
  // An agent of an earlier version.
  return net::CallTyped<AttachReply>(
    mParts.mRpc, aAgent, kAttachMethod, request, kAttachTimeout);
}

Duration CellOwner::AttachRound(const AgentId& aAgent, AgentLink& aLink)
{
  if (mLogic.RunsNothing(aAgent)) {
    RemoveAgentRecord(aAgent, aLink);
    if (aLink.mWorkerLeft ||
        MonotonicNow() - aLink.mLastContactAt > kSilentAfter) {
      return kOrderWait; // Until the agent reports a worker.
    }
  }
  if (!SaveAgentRecord(aAgent, aLink)) {
    return kAttachRetry;
  }
  const Session session = NextSession();
  const auto reply = CallAttach(aLink.mEndpoint, session);
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
    if (reply->mGeneration > mTerm.OwnGeneration()) {
      // Only a won election creates a generation, so this term is over, whether
      // or not the store can be asked.
      mParts.mOnSuperseded();
      return Duration::zero();
    }
    return kAttachRetry;
  }
  aLink.mLastContactAt = MonotonicNow();
  aLink.mAttachedAt = aLink.mLastContactAt;
  aLink.mWeightsSentAt = {}; // The agent may have restarted.
  mLogic.AttachWorker(aAgent, aLink.mEndpoint, session, reply->mState, Clock());
  mLogic.SetRecordClosed(aAgent, aLink.mRecordClosed);
  aLink.mCordonTold = false; // An agent's session begins without a cordon.
  TellCordon(aAgent, aLink);
  mScheduleWaker.Wake();
  return Duration::zero();
}

Duration CellOwner::OrderRound(const AgentId& aAgent, AgentLink& aLink)
{
  if (MonotonicNow() - aLink.mLastContactAt > kSilentAfter) {
    Detach(aAgent);
    return Duration::zero();
  }
  const OrderRequest orders = mLogic.TakeOrders(aAgent);
  if (mLogic.HasUnsavedJobs()) {
    mSaveWaker.Wake();
  }
  if (orders.mStarts.empty() && orders.mStops.empty() &&
      orders.mMetadata.empty()) {
    return kOrderWait;
  }
  const Instant oldest = mLogic.OrderedAt(orders).value_or(MonotonicNow());
  ++mCounters.mOrders;
  mCounters.mStarts += orders.mStarts.size();
  const auto reply = net::CallTyped<OrderReply>(
    mParts.mRpc, aLink.mEndpoint, kOrderMethod, orders, kOrderTimeout);
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
    // Only the session in which the orders were sent is in doubt.
    if (const auto worker = mLogic.Workers().find(aAgent);
        worker != mLogic.Workers().end() &&
        worker->second.mSession == orders.mSession) {
      Detach(aAgent);
    }
    return Duration::zero();
  }
  mLoad.RecordWait(OwnerWait::Order, MonotonicNow() - oldest);
  mLogic.OnStartResults(aAgent, orders.mSession, reply->mStarts, Clock());
  mScheduleWaker.Wake();
  return Duration::zero();
}

Session CellOwner::NextSession()
{
  return (mTerm.OwnGeneration() << kGenerationShift) +
         (++mSessions << kSessionShift);
}

} // namespace foxtailbarrow::scheduler
