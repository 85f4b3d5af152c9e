#pragma once

#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/detail/CommonFields.h"

/// Fields of the records that a cell keeps in the store.
namespace foxtailbarrow::detail {

inline constexpr TextRule kPayloadRule{ std::size_t{ 16 } * 1024 };
inline constexpr NumberRule<cell::Generation> kGenerationRule{
  0,
  cell::kMaxGeneration
};
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
  aVisitor.Optional("leftover", aMessage.mBestEffort);
  aVisitor.Optional("requiredLabel", aMessage.mRequiredLabel);
  aVisitor.Optional("dataRack", aMessage.mDataRack, kNameRule);
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
  aVisitor.Required("queue", aMessage.mQueue, kNameRule);
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
  aVisitor.Optional("alone", aMessage.mSole);
  aVisitor.Optional("likely", aMessage.mLikely);
  aVisitor.Optional("beside", aMessage.mPossible);
  aVisitor.Optional("unconfirmed", aMessage.mUnconfirmed);
}

template<typename Visitor, Is<cell::StoredCrashes> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("index", aMessage.mIndex);
  aVisitor.Optional("runs", aMessage.mRuns);
  aVisitor.Optional("clearedTo", aMessage.mClearedTo);
  aVisitor.Optional("announced", aMessage.mUnsettledStart);
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
  aVisitor.Optional("doneOccurrences", aMessage.mDoneOccurrences);
}

template<typename Visitor, Is<cell::OwnerRecord> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("scheduler", aMessage.mScheduler);
  aVisitor.Required("endpoint", aMessage.mEndpoint);
  aVisitor.Required("generation", aMessage.mGeneration, kGenerationRule);
  aVisitor.Required("token", aMessage.mToken);
}

template<typename Visitor, Is<cell::CellRecord> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("generation", aMessage.mGeneration, kGenerationRule);
  aVisitor.Required("scheduler", aMessage.mScheduler);
  aVisitor.Required("token", aMessage.mToken);
}

template<typename Visitor, Is<cell::AgentContact> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("endpoint", aMessage.mEndpoint);
  aVisitor.Optional("closed", aMessage.mClosed);
  aVisitor.Optional("tasks", aMessage.mTasks);
}

} // namespace foxtailbarrow::detail
