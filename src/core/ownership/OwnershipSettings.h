#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Durations and sizes of shard ownership. Each duration is measured on the
/// clock of the process that uses it. Clock rates may differ from true time by
/// `kClockRateError`; clock readings are never compared between processes.
/// docs/design/0006-ownership.md derives the inequalities that safety depends
/// on; Check() verifies them.
struct OwnershipSettings
{
  static constexpr double kClockRateError = 0.01;

  std::uint32_t mShards = 64;

  Duration mStoreLease = std::chrono::seconds(4);
  Duration mRoundInterval = std::chrono::seconds(1);

  /// How long a successful round is valid, from its start.
  Duration mValidity = std::chrono::seconds(3);

  /// A newly registered entry takes shards of other entries only after this.
  Duration mJoinWait = std::chrono::seconds(4);

  /// An entry takes the shards of a dead owner only this long after its own
  /// registration, and those of an owner that is back under a new tenure only
  /// this long after they became vacant.
  Duration mOutageGrace = std::chrono::seconds(6);

  /// An entry must have been listed this long before shards move to it.
  Duration mSettleTime = std::chrono::seconds(10);

  /// At most one shard is released for rebalancing in this interval.
  Duration mReleaseInterval = std::chrono::seconds(1);

  /// Interval between shard listings while no shard is expected to change.
  Duration mIdleListInterval = std::chrono::seconds(10);

  /// Shards written in one transaction. Each needs two compares and a write;
  /// the store allows 128 compares.
  std::size_t mShardsPerCommit = 60;

  /// Lease that an owner grants to the tasks of its shards.
  Duration mTaskLease = std::chrono::seconds(20);
  Duration mMargin = std::chrono::seconds(2);

  /// How long an attestation is valid, from the time its request was sent.
  Duration mAttestationValidity = std::chrono::seconds(3);
  Duration mAttestationInterval = std::chrono::seconds(1);

  /// The promises of a majority must lie within this window.
  Duration mPromiseWindow = std::chrono::seconds(5);
  Duration mPromiseInterval = std::chrono::seconds(2);

  /// A process that has not reached the store since its start attests nothing
  /// for this long, because it may have lost a promise in the restart.
  Duration mRestartSilence = std::chrono::seconds(10);

  /// Attestations extend a tenure at most this long after its last
  /// confirmation by the store.
  Duration mMaxExtension = std::chrono::minutes(105);

  /// An ended tenure without a majority of promises is closed after this.
  Duration mTenureTimeout = std::chrono::hours(2);

  /// The recorded voters of a tenure follow the roster once it has not changed
  /// for this long.
  Duration mVoterUpdateDelay = std::chrono::seconds(5);

  /// How often one entry searches for ended tenures that no shard refers to.
  Duration mSweepInterval = std::chrono::minutes(1);

  /// How long a process with a fast clock must wait so that `aSpan` has passed
  /// on the slow clock of another process.
  static Duration WithClockError(Duration aSpan);

  /// Time from the majority's promises, or from the owner's own confirmation,
  /// until every task lease of the tenure has expired.
  Duration TenureWait() const;

  /// True when every inequality that safety depends on holds.
  bool Check() const;
};

} // namespace foxtailbarrow
