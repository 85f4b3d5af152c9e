#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct HeartbeatSettings
{
  Duration mMinInterval = std::chrono::seconds(1);

  /// Bytes per second of one agent's heartbeats and replies, in both
  /// directions. Below the 8 KB/s that a node may use for all control traffic,
  /// to leave bandwidth for assignments and unscheduled heartbeats.
  double mBytesPerSecond = 7.0 * 1024;
};

/// Time between two heartbeats of an agent to the same entry:
///
///   max(minimum interval, entries * bytes per exchange / bytes per second)
///
/// so that the agent stays within its budget for any number of entries. Entries
/// use the same formula to detect missing heartbeats.
Duration HeartbeatInterval(const HeartbeatSettings& aSettings,
                           std::size_t aEntries,
                           double aBytesPerExchange);

} // namespace foxtailbarrow
