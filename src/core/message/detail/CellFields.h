#pragma once

#include "src/core/cell/CellMessages.h"
#include "src/core/cell/JobForward.h"
#include "src/core/cell/workers/CordonTable.h"
#include "src/core/message/detail/CellRecordFields.h"
#include "src/core/message/detail/CellWorkerFields.h"

/// Fields of the messages between schedulers and task agents.
namespace foxtailbarrow::detail {

template<typename Visitor, Is<cell::StartOrder> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Required("run", aMessage.mRun);
  aVisitor.Optional("payload", aMessage.mPayload, kPayloadRule);
  aVisitor.Optional("checkpoint", aMessage.mCheckpoint);
  aVisitor.Optional("ticket", aMessage.mTicket);
  aVisitor.Optional("latencyTargetUs", aMessage.mLatencyTarget);
  aVisitor.Optional("leftover", aMessage.mBestEffort);
  aVisitor.Optional("image", aMessage.mImage);
  aVisitor.Optional("reserved", aMessage.mReserved);
}

template<typename Visitor, Is<cell::StopOrder> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Required("run", aMessage.mRun);
}

template<typename Visitor, Is<cell::TaskMetadata> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Optional("latencyTargetUs", aMessage.mLatencyTarget);
  aVisitor.Optional("leftover", aMessage.mBestEffort);
  aVisitor.Optional("image", aMessage.mImage);
  aVisitor.Optional("reserved", aMessage.mReserved);
}

template<typename Visitor, Is<cell::StartResult> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Required("run", aMessage.mRun);
  aVisitor.Required("outcome", aMessage.mOutcome);
}

template<typename Visitor, Is<cell::AttachRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Required("session", aMessage.mSession);
  aVisitor.Required("owner", aMessage.mOwner);
}

template<typename Visitor, Is<cell::AttachReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("attached", aMessage.mAttached);
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Optional("state", aMessage.mState);
}

template<typename Visitor, Is<cell::OrderRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("session", aMessage.mSession);
  aVisitor.Required("number", aMessage.mNumber);
  aVisitor.Optional("incarnation", aMessage.mIncarnation.mId, kNameRule);
  aVisitor.Optional("startedUnixMs", aMessage.mIncarnation.mStartedUnixMs);
  aVisitor.Optional("starts", aMessage.mStarts);
  aVisitor.Optional("stops", aMessage.mStops);
  aVisitor.Optional("traits", aMessage.mMetadata);
}

template<typename Visitor, Is<cell::OrderReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("accepted", aMessage.mAccepted);
  aVisitor.Optional("starts", aMessage.mStarts);
}

template<typename Visitor, Is<cell::ReportRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("agent", aMessage.mAgent);
  aVisitor.Required("endpoint", aMessage.mEndpoint);
  aVisitor.Required("session", aMessage.mSession);
  aVisitor.Required("sequence", aMessage.mSequence);
  aVisitor.Optional("ordersDone", aMessage.mOrdersDone);
  aVisitor.Optional("base", aMessage.mBase);
  aVisitor.Optional("state", aMessage.mState);
  aVisitor.Optional("change", aMessage.mChange);
  aVisitor.Optional("workerAnswers", aMessage.mWorkerAnswers);
  aVisitor.Optional("workerEnded", aMessage.mWorkerEnded);
  aVisitor.Optional("answeredAtUs", aMessage.mAnsweredAt);
  aVisitor.Optional("leaseLeftUs", aMessage.mLeaseLeft);
  aVisitor.Optional("replyTookUs", aMessage.mReplyTook);
}

template<typename Visitor, Is<cell::InterferenceWeight> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("serving", aMessage.mServing);
  aVisitor.Required("leftover", aMessage.mBestEffort);
  aVisitor.Required("perCore", aMessage.mPerCore);
}

template<typename Visitor, Is<cell::BaselineLatency> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("serving", aMessage.mServing);
  aVisitor.Required("share", aMessage.mShare);
}

template<typename Visitor, Is<cell::LearnedInterference> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("calm", aMessage.mBaseline);
  aVisitor.Optional("pairs", aMessage.mPairs);
}

template<typename Visitor, Is<cell::ReportReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("owner", aMessage.mOwner);
  aVisitor.Required("attached", aMessage.mAttached);
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Optional("ownerAt", aMessage.mOwnerAt);
  aVisitor.Optional("grantUs", aMessage.mGrant);
  aVisitor.Optional("acknowledged", aMessage.mAcknowledged);
  aVisitor.Optional("sendWhole", aMessage.mSendFullState);
  aVisitor.Optional("pressures", aMessage.mInterferenceWeights);
}

template<typename Visitor, Is<cell::FindOwner> Message>
void Fields(Visitor&, Message&)
{
}

template<typename Visitor, Is<cell::FindOwnerReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Optional("ownerAt", aMessage.mOwnerAt);
}

template<typename Visitor, Is<cell::DomainCordon> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("failureDomain", aMessage.mDomain, kNameRule);
  aVisitor.Required("cordoned", aMessage.mCordoned);
  aVisitor.Required("revision", aMessage.mRevision);
}

template<typename Visitor, Is<cell::CordonRows> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("rows", aMessage.mRows);
}

template<typename Visitor, Is<cell::CordonRowsReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("owner", aMessage.mOwner);
}

template<typename Visitor, Is<cell::CordonNotice> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("session", aMessage.mSession);
  aVisitor.Required("number", aMessage.mNumber);
  aVisitor.Required("cordoned", aMessage.mCordoned);
}

template<typename Visitor, Is<cell::CordonNoticeReply> Message>
void Fields(Visitor&, Message&)
{
}

template<typename Visitor, Is<cell::QueryJob> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("job", aMessage.mJob);
}

template<typename Visitor, Is<cell::QueryJobReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("owner", aMessage.mOwner);
  aVisitor.Required("known", aMessage.mKnown);
  aVisitor.Required("phase", aMessage.mPhase);
}

template<typename Visitor, Is<cell::QueryWaiting> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("queue", aMessage.mQueue, kNameRule);
}

template<typename Visitor, Is<cell::QueryWaitingReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("owner", aMessage.mOwner);
  aVisitor.Required("waiting", aMessage.mWaiting);
}

template<typename Visitor, Is<cell::RecordChanged> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("job", aMessage.mJob);
}

template<typename Visitor, Is<cell::RecordChangedReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("full", aMessage.mFull);
}

template<typename Visitor, Is<cell::QueryAcceptance> Message>
void Fields(Visitor&, Message&)
{
}

template<typename Visitor, Is<cell::QueryAcceptanceReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("owner", aMessage.mOwner);
  aVisitor.Required("accepts", aMessage.mAccepts);
}

template<typename Visitor, Is<cell::ForwardedRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("kind", aMessage.mKind);
  aVisitor.Optional("job", aMessage.mJob);
  aVisitor.Optional("graph", aMessage.mGraph);
  aVisitor.Optional("queue", aMessage.mQueue, kNameRule);
  aVisitor.Required("timeoutUs", aMessage.mTimeout);
}

template<typename Visitor, Is<cell::ForwardedReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("outcome", aMessage.mOutcome);
  aVisitor.Optional("phase", aMessage.mPhase);
  aVisitor.Optional("waiting", aMessage.mWaiting);
  aVisitor.Optional("message", aMessage.mMessage);
  aVisitor.Optional("generation", aMessage.mGeneration);
}

} // namespace foxtailbarrow::detail
