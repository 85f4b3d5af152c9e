#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct HeartbeatSettings
{
  Duration mShortest = std::chrono::seconds(1);

  /// Bytes a second for heartbeats and their replies, both directions, of one
  /// agent. Less than the 8 KB a second that a node has for all control, to
  /// leave room for assignments and announcements out of turn.
  double mBytesPerSecond = 7.0 * 1024;
};

/// Time between two heartbeats of an agent to the same entry:
///
///   max(shortest, entries * bytes of one exchange / bytes a second)
///
/// so that the agent stays within its budget whatever the number of entries.
/// Entries use the same formula to judge an agent's silence.
Duration HeartbeatInterval(const HeartbeatSettings& aSettings,
                           std::size_t aEntries,
                           double aBytesPerExchange);

} // namespace foxtailbarrow
