#pragma once

#include <cstdint>
#include <deque>

#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::soak {

/// The capacities that the agent of a worker may currently assume, by the
/// heartbeats that were sent to it. No I/O, no clock.
class ReportedCapacity
{
public:
  /// Longest time from the agent's last check of the capacity to the start on
  /// the worker: the timeout of a start, and the same again for a busy machine.
  static constexpr Duration kMaxStartDelay = std::chrono::milliseconds(500);

  explicit ReportedCapacity(Resources aInitial);

  void OnSent(std::int64_t aNumber, const Resources& aCapacity);
  /// The agent accepted the heartbeat as the newest.
  void OnAnswered(std::int64_t aNumber, Instant aNow);

  /// True when a start that arrives at `aNow` and raises the use to `aUsed`
  /// fits a capacity that the agent may have assumed when it sent the start.
  bool Allows(const Resources& aUsed, Instant aNow);

private:
  struct Heartbeat
  {
    std::int64_t mNumber = 0;
    Resources mCapacity;
    Instant mAnsweredAt = Instant::max();
  };

  std::deque<Heartbeat> mHeartbeats; ///< Oldest first.
};

} // namespace foxtailbarrow::soak
