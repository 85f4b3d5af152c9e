#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "src/core/routing/AgentGauges.h"

namespace foxtailbarrow {

/// The ejected agents of one service, shared by all its routing tables.
/// Changed by OutlierDetector alone.
struct ServiceHealth
{
  /// Taken for an ejection or readmission only, never across I/O.
  std::mutex mMutex;
  std::vector<std::shared_ptr<AgentGauges>> mEjected;

  /// Agents in the newest routing table; the ejected share refers to it.
  std::atomic<std::uint32_t> mAgents{ 0 };
};

} // namespace foxtailbarrow
