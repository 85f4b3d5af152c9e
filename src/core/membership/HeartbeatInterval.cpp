#include "src/core/membership/HeartbeatInterval.h"

#include <algorithm>

namespace foxtailbarrow {

Duration HeartbeatInterval(const HeartbeatSettings& aSettings,
                           std::size_t aEntries,
                           double aBytesPerExchange)
{
  const double seconds = static_cast<double>(aEntries) * aBytesPerExchange /
                         aSettings.mBytesPerSecond;
  const auto needed = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
  return std::max(aSettings.mMinInterval, needed);
}

} // namespace foxtailbarrow
