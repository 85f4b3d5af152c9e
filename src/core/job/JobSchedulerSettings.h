#pragma once

#include <chrono>
#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/core/placement/PlacementPolicy.h"

namespace foxtailbarrow {

/// Times and limits of a JobScheduler.
struct JobSchedulerSettings
{
  /// Time to live of task leases, granted by every answered heartbeat.
  Duration mTaskLease = std::chrono::seconds(20);
  /// Waited beyond a lease before a job is given to another agent.
  Duration mLeaseMargin = std::chrono::seconds(2);
  /// Nothing is placed on a worker silent for longer.
  Duration mSuspectAfter = std::chrono::milliseconds(3500);
  /// Between repeats of an Assign or Control whose answer was lost.
  Duration mResendAfter = std::chrono::seconds(1);
  /// First pause after a failed attempt; doubles with each, up to the maximum.
  Duration mFirstBackoff = std::chrono::seconds(1);
  Duration mMaxBackoff = std::chrono::minutes(5);
  /// First pause after trouble with the store.
  Duration mStoreBackoff = std::chrono::milliseconds(200);
  Duration mMaxStoreBackoff = std::chrono::seconds(5);
  /// A job that fits no worker is parked after waiting this long.
  Duration mParkAfter = std::chrono::seconds(10);
  Duration mParkedRecheck = std::chrono::seconds(10);
  /// Ended jobs stay in memory this long, to answer late reports.
  Duration mForgetAfter = std::chrono::minutes(1);
  /// Room made by evictions is held for an urgent job this long.
  Duration mReservationTime = std::chrono::seconds(5);
  /// How workers are picked; the default is the one that measured best.
  PlacementPolicy mPolicy = Placer();
  /// Reserve what was learned instead of what is declared.
  bool mLearnSizes = true;
  std::int32_t mAttemptsLimit = 5;
  std::int32_t mPlacementsPerTick = 256;
  std::int32_t mMissesPerTick = 64;
  std::int32_t mMissesPerCustomer = 4;
};

} // namespace foxtailbarrow
