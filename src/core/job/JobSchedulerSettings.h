#pragma once

#include <chrono>
#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/core/placement/PlacementPolicy.h"

namespace foxtailbarrow {

/// Settings of a JobScheduler.
struct JobSchedulerSettings
{
  /// Time to live of task leases; extended by every heartbeat reply.
  Duration mTaskLease = std::chrono::seconds(20);
  /// Additional wait after a lease before a job is assigned to another agent.
  Duration mLeaseMargin = std::chrono::seconds(2);
  /// Nothing is placed on a worker without a heartbeat for longer.
  Duration mSuspectAfter = std::chrono::milliseconds(3500);
  /// Delay before resending an Assign or Control whose reply was lost.
  Duration mResendAfter = std::chrono::seconds(1);
  /// Delay after the first failed attempt; doubles with each, up to the
  /// maximum.
  Duration mFirstBackoff = std::chrono::seconds(1);
  Duration mMaxBackoff = std::chrono::minutes(5);
  /// Delay after the first store error; doubles with each, up to the maximum.
  Duration mStoreBackoff = std::chrono::milliseconds(200);
  Duration mMaxStoreBackoff = std::chrono::seconds(5);
  /// A job that fits no worker is parked after waiting this long.
  Duration mParkAfter = std::chrono::seconds(10);
  Duration mParkedRecheck = std::chrono::seconds(10);
  /// How long ended jobs stay in memory, to handle late reports.
  Duration mForgetAfter = std::chrono::minutes(1);
  /// How long capacity is reserved for an urgent job while tasks are evicted.
  Duration mReservationTime = std::chrono::seconds(5);
  /// How workers are chosen; the default performed best in the benchmarks.
  PlacementPolicy mPolicy = Placer();
  /// Whether to reserve the learned instead of the declared size.
  bool mLearnSizes = true;
  std::int32_t mAttemptsLimit = 5;
  std::int32_t mPlacementsPerTick = 256;
  std::int32_t mMissesPerTick = 64;
  std::int32_t mMissesPerCustomer = 4;
};

} // namespace foxtailbarrow
