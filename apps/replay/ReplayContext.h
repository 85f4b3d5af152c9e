#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::replay {

/// State shared by the parts of a replay.
struct ReplayContext
{
  net::HttpClient& mClient;
  std::vector<Endpoint> mEntries;
  int mMaxRetries = 0;
  std::string mRun; ///< Unique per replay; prefix of all ids.
  std::atomic<std::size_t> mNextEntry{ 0 };

  /// Selects entries round-robin, like a load balancer.
  const Endpoint& NextEntry()
  {
    return mEntries[mNextEntry.fetch_add(1, std::memory_order_relaxed) %
                    mEntries.size()];
  }
};

} // namespace foxtailbarrow::replay
