#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Times and sizes of shard ownership. All durations are measured on the clock
/// of the process that uses them; clocks may run fast or slow by
/// `kClockRateError` but are never compared between processes. The inequalities
/// that keep the defaults safe are derived in docs/design/0006-ownership.md and
/// checked by Check().
struct OwnershipSettings
{
  static constexpr double kClockRateError = 0.01;

  std::uint32_t mShards = 64;

  Duration mStoreLease = std::chrono::seconds(4);
  Duration mRoundInterval = std::chrono::seconds(1);

  /// How long a successful round counts, from its start.
  Duration mValidity = std::chrono::seconds(3);

  /// A newly registered entry takes shards of others only after this.
  Duration mJoinWait = std::chrono::seconds(4);

  /// A dead owner's shard is left to that owner for this long, where this
  /// entry itself registered less than `mOutageGrace` ago.
  Duration mOutageGrace = std::chrono::seconds(6);

  /// A joined entry must be seen this long before shards move to it.
  Duration mSettleTime = std::chrono::seconds(10);

  /// At most one shard is released for rebalancing in this time.
  Duration mReleaseInterval = std::chrono::seconds(1);

  /// Listing of the shards while nothing is to be done.
  Duration mIdleListInterval = std::chrono::seconds(10);

  /// Shards written in one transaction. Each needs two compares and a write,
  /// and the store allows 128 compares.
  std::size_t mShardsPerCommit = 60;

  /// Lease that an owner grants to the tasks of its shards.
  Duration mTaskLease = std::chrono::seconds(20);
  Duration mMargin = std::chrono::seconds(2);

  /// How long an attestation counts, from the sending of its request.
  Duration mAttestationValidity = std::chrono::seconds(3);
  Duration mAttestationInterval = std::chrono::seconds(1);

  /// Promises of a majority must lie within this window.
  Duration mPromiseWindow = std::chrono::seconds(5);
  Duration mPromiseInterval = std::chrono::seconds(2);

  /// A process that has not seen the store since its start attests nothing for
  /// this long, since it may have forgotten a promise.
  Duration mRestartSilence = std::chrono::seconds(10);

  /// No tenure is stretched longer than this after its last confirmation.
  Duration mMaxExtension = std::chrono::minutes(105);

  /// Without a majority of promises, a tenure counts as over after this.
  Duration mTenureTimeout = std::chrono::hours(2);

  /// The voters of a tenure follow the roster once it is stable for this long.
  Duration mVoterUpdateDelay = std::chrono::seconds(5);

  /// Tenures that nobody names are looked for this often, by one entry.
  Duration mSweepInterval = std::chrono::minutes(1);

  /// `aSpan` as another process must wait it out on a clock that runs fast
  /// while the first one's runs slow.
  static Duration WithClockError(Duration aSpan);

  /// From the majority's promises (or the owner's own word) until no task
  /// lease of that tenure is left.
  Duration TenureWait() const;

  /// True when every inequality holds that safety rests on.
  bool Check() const;
};

} // namespace foxtailbarrow
