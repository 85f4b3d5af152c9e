#pragma once

#include "src/core/cell/CellMessages.h"
#include "src/core/cell/CellRecords.h"
#include "src/core/cell/JobForward.h"
#include "src/core/message/detail/CommonFields.h"

namespace foxtailbarrow::detail {

inline constexpr TextRule kPayloadRule{ std::size_t{ 16 } * 1024 };
inline constexpr TextRule kBitmapRule{ cell::kMaxStepReplicas };
template<typename Visitor, Is<cell::StepSpec> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("replicas",
                    aMessage.mReplicas,
                    NumberRule<std::int32_t>{ 1, cell::kMaxStepReplicas });
  aVisitor.Optional("demand", aMessage.mDemand);
  aVisitor.Optional("estimateUs", aMessage.mEstimate);
  aVisitor.Optional("after", aMessage.mAfter);
  aVisitor.Optional("checkpoints", aMessage.mCheckpoints);
  aVisitor.Optional("gang", aMessage.mGang);
  aVisitor.Optional("sameRack", aMessage.mSameRack);
  aVisitor.Optional("speculative", aMessage.mSpeculative);
  aVisitor.Optional("standing", aMessage.mStanding);
  aVisitor.Optional("leftover", aMessage.mLeftover);
  aVisitor.Optional("requiredLabel", aMessage.mRequiredLabel);
  aVisitor.Optional("dataRack", aMessage.mDataRack);
  aVisitor.Optional("maxPerWorker", aMessage.mMaxPerWorker);
  aVisitor.Optional("maxUnavailable", aMessage.mMaxUnavailable);
  aVisitor.Optional("image", aMessage.mImage);
  aVisitor.Optional("latencyTargetUs", aMessage.mLatencyTarget);
}

template<typename Visitor, Is<cell::Recurrence> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("count", aMessage.mCount);
  aVisitor.Optional("firstDueUnixMs", aMessage.mFirstDueUnixMs);
  aVisitor.Optional("intervalMs", aMessage.mIntervalMs);
}

template<typename Visitor, Is<cell::JobGraph> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("id", aMessage.mId);
  aVisitor.Required("queue", aMessage.mQueue);
  aVisitor.Optional("payload", aMessage.mPayload, kPayloadRule);
  aVisitor.Required("steps", aMessage.mSteps);
  aVisitor.Optional("recurrence", aMessage.mRecurrence);
}

template<typename Visitor, Is<cell::StoredJob> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("graph", aMessage.mGraph);
  aVisitor.Required("acceptedUnixMs", aMessage.mAcceptedUnixMs);
  aVisitor.Optional("cancelled", aMessage.mCancelled);
}

template<typename Visitor, Is<cell::StoredFailures> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("index", aMessage.mIndex);
  aVisitor.Required("runs", aMessage.mRuns);
}

template<typename Visitor, Is<cell::StoredCheckpoint> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("index", aMessage.mIndex);
  aVisitor.Required("checkpoint", aMessage.mCheckpoint);
}

template<typename Visitor, Is<cell::CrashHistory::Runs> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("alone", aMessage.mAlone);
  aVisitor.Optional("likely", aMessage.mLikely);
  aVisitor.Optional("beside", aMessage.mBeside);
  aVisitor.Optional("unconfirmed", aMessage.mUnconfirmed);
}

template<typename Visitor, Is<cell::StoredCrashes> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("index", aMessage.mIndex);
  aVisitor.Optional("runs", aMessage.mRuns);
  aVisitor.Optional("clearedTo", aMessage.mClearedTo);
}

template<typename Visitor, Is<cell::StoredStep> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("occurrence", aMessage.mOccurrence);
  aVisitor.Required("step", aMessage.mStep);
  aVisitor.Optional("done", aMessage.mDone, kBitmapRule);
  aVisitor.Optional("failures", aMessage.mFailures);
  aVisitor.Optional("checkpoints", aMessage.mCheckpoints);
  aVisitor.Optional("crashes", aMessage.mCrashes);
}

template<typename Visitor, Is<cell::StoredProgress> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("phase", aMessage.mPhase);
  aVisitor.Optional("endedUnixMs", aMessage.mEndedUnixMs);
  aVisitor.Optional("steps", aMessage.mSteps);
}

template<typename Visitor, Is<cell::OwnerRecord> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("scheduler", aMessage.mScheduler);
  aVisitor.Required("endpoint", aMessage.mEndpoint);
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Required("token", aMessage.mToken);
}

template<typename Visitor, Is<cell::CellRecord> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Required("scheduler", aMessage.mScheduler);
  aVisitor.Required("token", aMessage.mToken);
}

template<typename Visitor, Is<cell::AgentContact> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("endpoint", aMessage.mEndpoint);
}

template<typename Visitor, Is<cell::WorkerInfo> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("incarnation", aMessage.mIncarnation);
  aVisitor.Optional("service", aMessage.mService);
  aVisitor.Optional("failureDomain", aMessage.mFailureDomain);
  aVisitor.Optional("rack", aMessage.mRack);
  aVisitor.Optional("labels", aMessage.mLabels);
  aVisitor.Optional("capacity", aMessage.mCapacity);
  aVisitor.Optional("draining", aMessage.mDraining);
  aVisitor.Optional("drainLeftUs", aMessage.mDrainLeft);
  aVisitor.Optional("gone", aMessage.mGone);
}

template<typename Visitor, Is<cell::RunningTask> Message>
void Columns(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required(aMessage.mTask);
  aVisitor.Required(aMessage.mRun);
  aVisitor.Required(aMessage.mPercent);
  aVisitor.Required(aMessage.mFigure);
  aVisitor.Optional(aMessage.mCheckpoint);
}

template<typename Visitor, Is<cell::EndedTask> Message>
void Columns(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required(aMessage.mNumber);
  aVisitor.Required(aMessage.mTask);
  aVisitor.Required(aMessage.mRun);
  aVisitor.Required(aMessage.mEnd);
  aVisitor.Optional(aMessage.mCheckpoint);
}

template<typename Visitor, Is<cell::RunRef> Message>
void Columns(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required(aMessage.mTask);
  aVisitor.Required(aMessage.mRun);
}

template<typename Visitor, Is<cell::CrashedRun> Message>
void Columns(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required(aMessage.mTask);
  aVisitor.Required(aMessage.mRun);
  aVisitor.Optional(aMessage.mLived);
  aVisitor.Optional(aMessage.mConfirmed);
}

template<typename Visitor, Is<cell::CrashedWorker> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("runs", aMessage.mRuns);
}

template<typename Visitor, Is<cell::WorkerState> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("info", aMessage.mInfo);
  aVisitor.Optional("running", aMessage.mRunning);
  aVisitor.Optional("ended", aMessage.mEnded);
  aVisitor.Optional("crashes", aMessage.mCrashes);
}

template<typename Visitor, Is<cell::WorkerChange> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("info", aMessage.mInfo);
  aVisitor.Optional("running", aMessage.mRunning);
  aVisitor.Optional("gone", aMessage.mGone);
  aVisitor.Optional("ended", aMessage.mEnded);
  aVisitor.Optional("figures", aMessage.mFigures);
}

template<typename Visitor, Is<cell::StartOrder> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Required("run", aMessage.mRun);
  aVisitor.Optional("payload", aMessage.mPayload, kPayloadRule);
  aVisitor.Optional("checkpoint", aMessage.mCheckpoint);
  aVisitor.Optional("ticket", aMessage.mTicket);
  aVisitor.Optional("latencyTargetUs", aMessage.mLatencyTarget);
  aVisitor.Optional("leftover", aMessage.mLeftover);
  aVisitor.Optional("image", aMessage.mImage);
  aVisitor.Optional("reserved", aMessage.mReserved);
}

template<typename Visitor, Is<cell::StopOrder> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Required("run", aMessage.mRun);
}

template<typename Visitor, Is<cell::TaskTraits> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Optional("latencyTargetUs", aMessage.mLatencyTarget);
  aVisitor.Optional("leftover", aMessage.mLeftover);
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
  aVisitor.Optional("incarnation", aMessage.mIncarnation);
  aVisitor.Optional("starts", aMessage.mStarts);
  aVisitor.Optional("stops", aMessage.mStops);
  aVisitor.Optional("traits", aMessage.mTraits);
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
  aVisitor.Optional("answerAgeUs", aMessage.mAnswerAge);
  aVisitor.Optional("leaseLeftUs", aMessage.mLeaseLeft);
  aVisitor.Optional("replyTookUs", aMessage.mReplyTook);
}

template<typename Visitor, Is<cell::Pressure> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("serving", aMessage.mServing);
  aVisitor.Required("leftover", aMessage.mLeftover);
  aVisitor.Required("perCore", aMessage.mPerCore);
}

template<typename Visitor, Is<cell::CalmLatency> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("serving", aMessage.mServing);
  aVisitor.Required("share", aMessage.mShare);
}

template<typename Visitor, Is<cell::LearnedInterference> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("calm", aMessage.mCalm);
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
  aVisitor.Optional("sendWhole", aMessage.mSendWhole);
  aVisitor.Optional("pressures", aMessage.mPressures);
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
  aVisitor.Required("queue", aMessage.mQueue);
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
void Fields(Visitor&, Message&)
{
}

template<typename Visitor, Is<cell::ForwardedRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("kind", aMessage.mKind);
  aVisitor.Optional("job", aMessage.mJob);
  aVisitor.Optional("graph", aMessage.mGraph);
  aVisitor.Optional("queue", aMessage.mQueue);
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
