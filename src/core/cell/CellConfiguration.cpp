#include "src/core/cell/CellConfiguration.h"

#include "absl/strings/match.h"

namespace foxtailbarrow::cell {

namespace {

absl::string_view View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Host names compare case-insensitively and without the port.
bool SameHost(std::string_view aHost, std::string_view aConfigured)
{
  return absl::EqualsIgnoreCase(View(aHost.substr(0, aHost.find(':'))),
                                View(aConfigured));
}

} // namespace

const QueueRoute* FindRoute(const CellConfiguration& aConfiguration,
                            std::string_view aHost,
                            std::string_view aPath)
{
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : aConfiguration.mRoutes) {
    if (!aPath.starts_with(route.mPathPrefix) ||
        !SameHost(aHost, route.mHost)) {
      continue;
    }
    if (best == nullptr ||
        best->mPathPrefix.size() < route.mPathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

} // namespace foxtailbarrow::cell
