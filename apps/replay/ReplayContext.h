#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::replay {

/// What the parts of a replay share.
struct ReplayContext
{
  net::HttpClient& mClient;
  std::vector<Endpoint> mEntries;
  int mMaxRetries = 0;
  std::string mRun; ///< Unique to this replay; starts every id.
  std::atomic<std::size_t> mNextEntry{ 0 };

  /// Entries in turn, as a balancer would.
  const Endpoint& NextEntry()
  {
    return mEntries[mNextEntry.fetch_add(1, std::memory_order_relaxed) %
                    mEntries.size()];
  }
};

} // namespace foxtailbarrow::replay
