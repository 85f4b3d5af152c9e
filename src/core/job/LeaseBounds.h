#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// The heartbeat on whose lease new assignments to an agent count.
struct LeaseBasis
{
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Instant mReceived{};
  bool mValid = false;
};

/// What one assignment may live on.
struct AssignmentLease
{
  Instant mStartUntil{};  ///< The agent refuses to start it after this.
  Instant mListedUntil{}; ///< Extension by the last heartbeat that listed it.
};

/// Until when a task that an agent does not report may still run. Every bound
/// is by this process's clock, from the receipt of heartbeats; the agent counts
/// from their sending, which was earlier.
class LeaseBounds
{
public:
  /// `aLease`: time to live of an extension. `aMargin`: covers the difference
  /// of clock rates between this process and a worker over one lease.
  LeaseBounds(Duration aLease, Duration aMargin)
    : mLease(aLease)
    , mMargin(aMargin)
  {
  }

  /// A heartbeat was taken. One sent while its agent was still rebuilding its
  /// ledger proves nothing about tasks that it leaves out.
  void OnHeartbeat(WorkerSlot aSlot, const Heartbeat& aHeartbeat, Instant aNow);

  /// A reply that extends leases leaves.
  void OnLeasesExtended(WorkerSlot aSlot,
                        Incarnation aIncarnation,
                        std::uint64_t aSequence,
                        Instant aUntil);

  /// Latest heartbeat answered; mValid is false before the first.
  const LeaseBasis& Basis(WorkerSlot aSlot) const;

  Instant StartUntil(const LeaseBasis& aBasis) const
  {
    return aBasis.mReceived + mLease;
  }

  /// From when on the assignment certainly does not run. Every task is
  /// extended by replies to heartbeats that list it; one that starts late, by
  /// mStartUntil, may be extended once more by a reply under way by then.
  Instant LapsedAt(WorkerSlot aSlot, const AssignmentLease& aLease) const;

  /// The same for an agent never heard of since `aLease` began.
  Instant LapsedWithoutHeartbeat(const AssignmentLease& aLease) const
  {
    return aLease.mStartUntil + mMargin;
  }

private:
  struct Bound
  {
    Instant mExtendedUntil{};
    Instant mUnprovedUntil{}; ///< By heartbeats that prove no absence.
    LeaseBasis mNewest;
    LeaseBasis mBasis;
    bool mNewestProvesAbsence = false;
  };

  Bound& At(WorkerSlot aSlot);

  Duration mLease;
  Duration mMargin;
  std::vector<Bound> mBounds;
};

} // namespace foxtailbarrow
