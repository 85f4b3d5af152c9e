#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/workers/TaskWorker.h"

namespace foxtailbarrow::cell {

/// Converts the owner's grants to lease ends on the worker's clock.
///
/// Guarantee: a lease end returned by LeaseEnd() passes, in true time, no later
/// than the newest grant ends, even if the worker's clock is 2 % slow. Grants
/// start when the request is sent, by the agent's own clock, so that a delayed
/// reply never extends one.
class LeaseGrant
{
public:
  /// The owner granted `aGrant` in reply to a request sent at `aSentAt`.
  void Extend(Instant aSentAt, Duration aGrant);
  /// End of the newest grant. Grants of an earlier owner stay in force.
  Instant End() const { return mEnd; }

  /// The worker's clock read `aClock` at some time before `aReceivedAt`.
  void SampleClock(WorkerTimeMs aClock, Instant aReceivedAt);

  /// True if there is a sample of this worker's clock.
  bool HasClockSample() const { return mSample.has_value(); }

  /// Returns and remembers the lease end to send to the worker now, or nullopt
  /// without a grant in force or a sample of the worker's clock.
  std::optional<WorkerTimeMs> LeaseEnd(Instant aNow);

  /// How long leases that were sent to the worker may still last.
  Duration LeaseLeft(Instant aNow) const;

  /// Another incarnation of the worker has another clock and no leases.
  void ResetWorker();

private:
  struct Sample
  {
    WorkerTimeMs mClock = 0;
    Instant mReceivedAt{};
  };

  Instant mEnd{};
  Instant mSentEnd{};
  std::optional<Sample> mSample;
};

} // namespace foxtailbarrow::cell
