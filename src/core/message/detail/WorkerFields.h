#pragma once

#include "foxtailbarrow/Worker.h"
#include "src/core/message/detail/CommonFields.h"

namespace foxtailbarrow::detail {

inline constexpr TextRule kArgumentsRule{ std::size_t{ 16 } * 1024 };

template<typename Visitor, Is<TaskKey> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("job", aMessage.mJob);
  aVisitor.Required("epoch", aMessage.mEpoch);
}

template<typename Visitor, Is<TaskStart> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("key", aMessage.mKey);
  aVisitor.Required("customer", aMessage.mCustomer);
  aVisitor.Required("kind", aMessage.mKind);
  aVisitor.Optional("resources", aMessage.mResources);
  aVisitor.Required("program", aMessage.mProgram);
  aVisitor.Optional("arguments", aMessage.mArguments, kArgumentsRule);
  aVisitor.Optional("checkpoint", aMessage.mCheckpoint);
  aVisitor.Required("leaseUs", aMessage.mLease);
}

template<typename Visitor, Is<TaskStatus> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("key", aMessage.mKey);
  aVisitor.Required("state", aMessage.mState);
  aVisitor.Optional("customer", aMessage.mCustomer);
  aVisitor.Optional("kind", aMessage.mKind);
  aVisitor.Optional("reserved", aMessage.mReserved);
  aVisitor.Optional("checkpoint", aMessage.mCheckpoint);
  aVisitor.Optional("reason", aMessage.mReason);
}

template<typename Visitor, Is<UsageSample> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("key", aMessage.mKey);
  aVisitor.Optional("used", aMessage.mUsed);
  aVisitor.Required("ageUs", aMessage.mAge);
}

template<typename Visitor, Is<WorkerView> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("capacity", aMessage.mCapacity);
  aVisitor.Optional("tasks", aMessage.mTasks);
  aVisitor.Optional("usage", aMessage.mUsage);
}

} // namespace foxtailbarrow::detail
