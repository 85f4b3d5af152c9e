#pragma once

#include "foxtailbarrow/Messages.h"
#include "src/core/message/detail/ContractFields.h"
#include "src/core/message/detail/JobFields.h"

namespace foxtailbarrow::detail {

template<typename Visitor, Is<LoadReport> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("slots", aMessage.mSlots);
  aVisitor.Required("slotsInUse", aMessage.mSlotsInUse);
  aVisitor.Required("waiting", aMessage.mWaiting);
  aVisitor.Optional("capacity", aMessage.mCapacity);
  aVisitor.Optional("reserved", aMessage.mReserved);
}

template<typename Visitor, Is<TaskReport> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("shard", aMessage.mShard);
  aVisitor.Required("status", aMessage.mStatus);
}

template<typename Visitor, Is<Heartbeat> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("agent", aMessage.mAgent);
  aVisitor.Required("incarnation", aMessage.mIncarnation);
  aVisitor.Required("sequence", aMessage.mSequence);
  aVisitor.Required("endpoint", aMessage.mEndpoint);
  aVisitor.Required("service", aMessage.mService);
  aVisitor.Required("rack", aMessage.mRack);
  aVisitor.Required("failureDomain", aMessage.mFailureDomain);
  aVisitor.Required("state", aMessage.mState);
  aVisitor.Required("load", aMessage.mLoad);
  aVisitor.Optional("tasks", aMessage.mTasks);
  aVisitor.Optional("usage", aMessage.mUsage);
  aVisitor.Required("configuration", aMessage.mConfiguration);
}

template<typename Visitor, Is<ShardLease> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("shard", aMessage.mShard);
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Required("ttlUs", aMessage.mTtl);
}

template<typename Visitor, Is<HeartbeatReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("entry", aMessage.mEntry);
  aVisitor.Required("configuration", aMessage.mConfiguration);
  aVisitor.Optional("configurationFrom", aMessage.mConfigurationFrom);
  aVisitor.Optional("configurationThrough", aMessage.mConfigurationThrough);
  aVisitor.Optional("configurationAsOf", aMessage.mConfigurationAsOf);
  aVisitor.Optional("configurationDigest", aMessage.mConfigurationDigest);
  aVisitor.Optional("contracts", aMessage.mContracts);
  aVisitor.Optional("removed", aMessage.mRemoved);
  aVisitor.Optional("entries", aMessage.mEntries);
  aVisitor.Optional("leases", aMessage.mLeases);
  aVisitor.Optional("acknowledged", aMessage.mAcknowledged);
  aVisitor.Optional("unknown", aMessage.mUnknown);
}

template<typename Visitor, Is<Assign> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("shard", aMessage.mShard);
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Required("task", aMessage.mTask);
  aVisitor.Optional("urgent", aMessage.mUrgent);
  aVisitor.Optional("incarnation", aMessage.mIncarnation);
  aVisitor.Optional("sequence", aMessage.mSequence);
  aVisitor.Optional(
    "sharePerWorker", aMessage.mSharePerWorker, NumberRule<double>{ 0, 1 });
}

template<typename Visitor, Is<AssignReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("granted", aMessage.mGranted);
  aVisitor.Required("reason", aMessage.mReason);
  aVisitor.Required("verdict", aMessage.mVerdict);
  aVisitor.Optional("free", aMessage.mFree);
}

template<typename Visitor, Is<Control> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("shard", aMessage.mShard);
  aVisitor.Required("generation", aMessage.mGeneration);
  aVisitor.Required("key", aMessage.mKey);
  aVisitor.Required("action", aMessage.mAction);
  aVisitor.Required("fraction", aMessage.mFraction, NumberRule<double>{ 0, 1 });
  aVisitor.Required("reason", aMessage.mReason);
}

template<typename Visitor, Is<ControlReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("status", aMessage.mStatus);
}

template<typename Visitor, Is<Revoke> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("request", aMessage.mRequest);
  aVisitor.Optional("ageUs", aMessage.mAge);
  aVisitor.Optional("customer", aMessage.mCustomer);
  aVisitor.Optional("idempotencyKey", aMessage.mIdempotencyKey);
}

template<typename Visitor, Is<RevokeReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("verdict", aMessage.mVerdict);
  aVisitor.Optional("promisedBefore", aMessage.mPromisedBefore);
}

template<typename Visitor, Is<JobChanged> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("shard", aMessage.mShard);
  aVisitor.Required("job", aMessage.mJob);
}

template<typename Visitor, Is<JobChangedReply> Message>
void Fields(Visitor&, Message&)
{
}

} // namespace foxtailbarrow::detail
