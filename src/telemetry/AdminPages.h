#pragma once

#include <functional>
#include <optional>

#include "absl/status/status.h"

#include "src/net/HttpMessage.h"
#include "src/telemetry/Metrics.h"
#include "src/telemetry/StateDump.h"

namespace foxtailbarrow {

/// Serves GET and HEAD of /metrics (Prometheus text), /healthz (200, or 503
/// with the reason) and /state (JSON; /state/<part> for one part) in the
/// handler of an HttpServer. Keeps references to the metrics and the state.
class AdminPages
{
public:
  using Health = std::function<absl::Status()>;

  AdminPages(Metrics& aMetrics, StateDump& aState, Health aHealth);

  /// nullopt when the request is for another path.
  std::optional<net::HttpResponse> Answer(
    const net::HttpRequest& aRequest) const;

private:
  Metrics& mMetrics;
  StateDump& mState;
  Health mHealth;
};

} // namespace foxtailbarrow
