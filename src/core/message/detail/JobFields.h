#pragma once

#include "foxtailbarrow/Job.h"
#include "src/core/message/detail/WorkerFields.h"

namespace foxtailbarrow::detail {

template<typename Visitor, Is<JobSpec> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("id", aMessage.mId);
  aVisitor.Required("customer", aMessage.mCustomer);
  aVisitor.Required("kind", aMessage.mKind);
  aVisitor.Optional("priority", aMessage.mPriority);
  aVisitor.Required("declared", aMessage.mDeclared);
  aVisitor.Optional("declaredRunTimeUs", aMessage.mDeclaredRunTime);
  aVisitor.Required("program", aMessage.mProgram);
  aVisitor.Optional("arguments", aMessage.mArguments, kArgumentsRule);
}

template<typename Visitor, Is<JobRecord> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("spec", aMessage.mSpec);
  aVisitor.Required("state", aMessage.mState);
  aVisitor.Required("epoch", aMessage.mEpoch);
  aVisitor.Optional("agent", aMessage.mAgent);
  aVisitor.Optional("checkpoint", aMessage.mCheckpoint);
  aVisitor.Optional("attempts", aMessage.mAttempts);
  aVisitor.Optional("evictions", aMessage.mEvictions);
  aVisitor.Optional("cancelRequested", aMessage.mCancelRequested);
  aVisitor.Optional("reason", aMessage.mReason);
}

} // namespace foxtailbarrow::detail
