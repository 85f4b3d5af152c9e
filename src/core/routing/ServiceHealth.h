#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "src/core/routing/EjectionEvent.h"

namespace foxtailbarrow {

/// Ejections among the agents of one service, shared by all its routing tables.
/// Changed by OutlierDetector alone.
struct ServiceHealth
{
  /// Taken for an ejection or readmission only, never across I/O.
  std::mutex mMutex;
  std::size_t mEjected = 0;           ///< Routable agents now ejected.
  std::vector<EjectionEvent> mEvents; ///< Not yet returned by Evaluate().

  /// Agents in the newest routing table; the ejected share refers to it.
  std::atomic<std::uint32_t> mAgents{ 0 };
};

} // namespace foxtailbarrow
