#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/QueuePolicy.h"

namespace foxtailbarrow::cell {

/// Maps requests to a queue by host name and path prefix.
struct QueueRoute
{
  std::string mHost;
  std::string mPathPrefix;
  QueuePolicy mPolicy;
  Duration mTimeout{}; ///< Timeout of a caller's request.

  bool operator==(const QueueRoute&) const = default;
};

/// Configuration in force, set by the operator. Versions increase.
struct CellConfiguration
{
  std::int64_t mVersion = 0;
  std::vector<QueueRoute> mRoutes;
  // Limits on callers' requests; 0 = the operator set none.
  std::size_t mMaxHeaderBytes = 0;
  std::size_t mMaxBodyBytes = 0;
  Duration mHeaderTimeout{};
  Duration mIdleTimeout{}; ///< Of a connection without a request.

  bool operator==(const CellConfiguration&) const = default;
};

/// The route with this host and the longest matching path prefix; null if none.
const QueueRoute* FindRoute(const CellConfiguration& aConfiguration,
                            std::string_view aHost,
                            std::string_view aPath);

} // namespace foxtailbarrow::cell
