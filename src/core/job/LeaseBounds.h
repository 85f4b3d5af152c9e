#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// The heartbeat whose lease covers new assignments to an agent.
struct LeaseBasis
{
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Instant mReceived{};
  bool mValid = false;
};

/// Lease times of one assignment.
struct AssignmentLease
{
  Instant mStartUntil{};  ///< The agent does not start it after this.
  Instant mListedUntil{}; ///< Extended by the last heartbeat that listed it.
};

/// Computes until when a task that its agent does not report may still run.
/// Bounds use this process's clock, from the receipt of heartbeats; the agent
/// measures from their sending, which is earlier.
class LeaseBounds
{
public:
  /// `aLease`: time to live of an extension. `aMargin`: covers the clock rate
  /// difference between this process and a worker over one lease.
  LeaseBounds(Duration aLease, Duration aMargin)
    : mLease(aLease)
    , mMargin(aMargin)
  {
  }

  /// A heartbeat was received. One sent while the agent was rebuilding its
  /// ledger does not prove the absence of tasks that it omits.
  void OnHeartbeat(WorkerSlot aSlot, const Heartbeat& aHeartbeat, Instant aNow);

  /// A reply that extends leases is about to be sent.
  void OnLeasesExtended(WorkerSlot aSlot,
                        Incarnation aIncarnation,
                        std::uint64_t aSequence,
                        Instant aUntil);

  /// Latest heartbeat replied to; mValid is false before the first.
  const LeaseBasis& Basis(WorkerSlot aSlot) const;

  Instant StartUntil(const LeaseBasis& aBasis) const
  {
    return aBasis.mReceived + mLease;
  }

  /// Time from which the assignment certainly does not run. A task is extended
  /// by replies to heartbeats that list it; one that starts as late as
  /// mStartUntil may be extended once more by a reply in flight at that time.
  Instant LapsedAt(WorkerSlot aSlot, const AssignmentLease& aLease) const;

  /// The same for an agent without any heartbeat since `aLease` began.
  Instant LapsedWithoutHeartbeat(const AssignmentLease& aLease) const
  {
    return aLease.mStartUntil + mMargin;
  }

private:
  struct Bound
  {
    Instant mExtendedUntil{};
    Instant mUnprovedUntil{}; ///< By replies that prove no absence.
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
