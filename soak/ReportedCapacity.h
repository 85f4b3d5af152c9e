#pragma once

#include <cstdint>
#include <deque>

#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::soak {

/// What the agent of one worker may believe of its capacity, by the heartbeats
/// that were sent to it. Pure.
class ReportedCapacity
{
public:
  /// A start reaches its worker so long after the agent's last look at its
  /// room: the longest that an agent waits for a start, and as much for a busy
  /// machine.
  static constexpr Duration kMaxStartDelay = std::chrono::milliseconds(500);

  explicit ReportedCapacity(Resources aFirst);

  void Sent(std::int64_t aNumber, const Resources& aCapacity);
  /// The heartbeat was answered, and was the newest.
  void Answered(std::int64_t aNumber, Instant aNow);

  /// True when a start that comes now, with which so much is in use, fits some
  /// capacity that the agent may have believed in as it sent it.
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
