#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/core/routing/LoadSnapshot.h"

namespace foxtailbarrow {

/// Estimated number of requests at one backend server.
struct LoadEstimate
{
  double mRequests = 0.0; ///< In slots or waiting.
  double mSlots = 1.0;    ///< At least 1.
};

/// Estimates the load of one agent incarnation from this entry's own requests
/// in flight, which are exact, and the agent's latest report, which is delayed.
/// Thread-safe and lock-free.
///
/// A report covers the requests of all entries. What exceeds this entry's own
/// at the time of the report is attributed to other entries and decays linearly
/// to zero over the decay time, since an old report does not describe the
/// current load.
class LoadEstimator
{
public:
  void Start() { mInFlight.fetch_add(1, std::memory_order_relaxed); }
  void End() { mInFlight.fetch_sub(1, std::memory_order_relaxed); }

  /// This entry's own requests in flight.
  std::int32_t InFlight() const
  {
    return mInFlight.load(std::memory_order_relaxed);
  }

  void Report(const LoadSnapshot& aLoad, Instant aNow);

  LoadEstimate Estimate(Instant aNow, Duration aDecay) const;

private:
  std::atomic<std::int32_t> mInFlight{ 0 };
  /// Other entries' requests, slots, and time in milliseconds, packed in one
  /// word so that a reader never mixes two reports.
  std::atomic<std::uint64_t> mReport{ std::uint64_t{ 1 } << 32 };
};

} // namespace foxtailbarrow
