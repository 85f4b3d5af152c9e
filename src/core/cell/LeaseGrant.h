#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskWorker.h"

namespace foxtailbarrow::cell {

/// Turns the owner's grants into lease ends on the worker's clock.
///
/// Promise: a lease end that LeaseEnd() returned is over, in true time, at the
/// end of the newest grant, also on a worker whose clock is 2 % slow. Grants
/// are dated by the agent's own clock from the sending of the request, so that
/// a delayed reply never lengthens one.
class LeaseGrant
{
public:
  /// The owner granted `aGrant` in reply to a request sent at `aSentAt`.
  void Extend(Instant aSentAt, Duration aGrant);
  /// Another owner grants from now on; leases that were granted stay.
  Instant End() const { return mEnd; }

  /// The worker's clock showed `aClock` at some time before `aReceivedAt`.
  void SampleClock(WorkerTimeMs aClock, Instant aReceivedAt);

  /// A sample of this worker's clock is there.
  bool HasClockSample() const { return mSample.has_value(); }

  /// Notes the worker's lease end to be sent now, or nullopt when there is no
  /// grant or no sample of the worker's clock.
  std::optional<WorkerTimeMs> LeaseEnd(Instant aNow);

  /// How long the worker may still hold what was sent.
  Duration LeaseLeft(Instant aNow) const;

  /// A worker of another incarnation has another clock and holds nothing.
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
