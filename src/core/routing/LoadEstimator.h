#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Time.h"
#include "src/core/routing/LoadSnapshot.h"

namespace foxtailbarrow {

/// Requests believed to be at one backend server.
struct LoadEstimate
{
  double mRequests = 0.0; ///< In slots and waiting.
  double mSlots = 1.0;    ///< At least 1.
};

/// What one entry knows of the load of one agent incarnation: its own requests
/// in flight, exact, and the agent's latest report, late. All methods are
/// callable from any thread at any time; none blocks.
///
/// A report covers this entry's requests and those of other entries. The part
/// beyond this entry's own at the time of the report is taken as the others'
/// and fades linearly to nothing over the fade time, since an old report says
/// nothing of what is there now.
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

  void Report(const LoadSnapshot& aFigures, Instant aNow);

  LoadEstimate Estimate(Instant aNow, Duration aFade) const;

private:
  std::atomic<std::int32_t> mInFlight{ 0 };
  /// Others' requests, slots and time in milliseconds in one word, so that a
  /// reader never mixes two reports.
  std::atomic<std::uint64_t> mReport{ std::uint64_t{ 1 } << 32 };
};

} // namespace foxtailbarrow
