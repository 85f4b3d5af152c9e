#include "src/telemetry/ServerReports.h"

#include <cstdint>
#include <utility>

#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

using net::HttpServer;
using net::HttpServerCounters;

struct CounterView
{
  const char* mReason; ///< Label of the metric, and name in the log line.
  std::uint64_t HttpServerCounters::*mCounter;
};

constexpr CounterView kRefusals[] = {
  { "invalid", &HttpServerCounters::mRejected },
  { "connection-limit", &HttpServerCounters::mRefused },
  { "evicted-for-memory", &HttpServerCounters::mEvictedForMemory },
  { "evicted-for-connections", &HttpServerCounters::mEvictedForConnections },
};

bool AnyDiffers(const HttpServerCounters& aLeft,
                const HttpServerCounters& aRight)
{
  for (const CounterView& view : kRefusals) {
    if (aLeft.*view.mCounter != aRight.*view.mCounter) {
      return true;
    }
  }
  return false;
}

} // namespace

void ServerReports::Add(std::string aName, const HttpServer& aServer)
{
  for (const CounterView& view : kRefusals) {
    mMetrics.SampledGauge(
      "server_refusals",
      "Requests or connections that a server refused, by reason.",
      [counters = aServer.CounterReader(), counter = view.mCounter] {
        return static_cast<double>(counters().*counter);
      },
      { { "server", aName }, { "reason", view.mReason } });
  }
  mMetrics.SampledGauge("server_connections",
                        "Open connections of a server.",
                        [counters = aServer.CounterReader()] {
                          return static_cast<double>(counters().mConnections);
                        },
                        { { "server", aName } });
  mServers.push_back({ std::move(aName), aServer.CounterReader(), {} });
}

void ServerReports::Round()
{
  for (auto& [name, counters, logged] : mServers) {
    const HttpServerCounters now = counters();
    if (!AnyDiffers(now, logged)) {
      continue;
    }
    LogWarning("server-refused",
               { { "server", name },
                 { "invalid", now.mRejected - logged.mRejected },
                 { "connection-limit", now.mRefused - logged.mRefused },
                 { "evicted-for-memory",
                   now.mEvictedForMemory - logged.mEvictedForMemory },
                 { "evicted-for-connections",
                   now.mEvictedForConnections - logged.mEvictedForConnections },
                 { "connections", now.mConnections } });
    logged = now;
  }
}

} // namespace foxtailbarrow
