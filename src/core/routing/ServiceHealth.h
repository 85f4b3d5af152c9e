#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "src/core/routing/EjectionEvent.h"

namespace foxtailbarrow {

/// Ejections among the agents of one service, shared by all its routing tables.
/// Changed only by OutlierDetector, except for mAgents.
struct ServiceHealth
{
  /// Held briefly to change or read ejections, never across I/O.
  std::mutex mMutex;
  std::size_t mEjected = 0;           ///< Ejected routable agents.
  std::vector<EjectionEvent> mEvents; ///< Not yet returned by Evaluate().

  /// Agents in the newest routing table, to which the ejected share refers.
  std::atomic<std::uint32_t> mAgents{ 0 };
};

} // namespace foxtailbarrow
