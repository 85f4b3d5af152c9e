#pragma once

#include "src/core/cell/CellMessages.h"
#include "src/core/message/detail/CommonFields.h"

/// Fields of what an agent reports about its worker.
namespace foxtailbarrow::detail {

template<typename Visitor, Is<cell::WorkerInfo> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Optional("incarnation", aMessage.mIncarnation.mId, kNameRule);
  aVisitor.Optional("startedUnixMs", aMessage.mIncarnation.mStartedUnixMs);
  aVisitor.Optional("service", aMessage.mService, kNameRule);
  aVisitor.Optional("failureDomain", aMessage.mFailureDomain, kNameRule);
  aVisitor.Optional("rack", aMessage.mRack, kNameRule);
  aVisitor.Optional("labels", aMessage.mLabels);
  aVisitor.Optional("capacity", aMessage.mCapacity);
  aVisitor.Optional("draining", aMessage.mDraining);
  aVisitor.Optional("drainLeftUs", aMessage.mDrainLeft);
  aVisitor.Optional("gone", aMessage.mLeft);
}

template<typename Visitor, Is<cell::RunningTask> Message>
void Columns(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required(aMessage.mTask);
  aVisitor.Required(aMessage.mRun);
  aVisitor.Required(aMessage.mPercent);
  aVisitor.Required(aMessage.mFigure);
  aVisitor.Optional(aMessage.mCheckpoint);
  aVisitor.Optional(aMessage.mSince);
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
  aVisitor.Optional(aMessage.mUptime);
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
  aVisitor.Optional("gone", aMessage.mRemoved);
  aVisitor.Optional("ended", aMessage.mEnded);
  aVisitor.Optional("figures", aMessage.mFigures);
}

} // namespace foxtailbarrow::detail
