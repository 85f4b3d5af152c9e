#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/net/HttpServer.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Reports what the servers of a process refuse: their counters as metrics, and
/// a log line `server-refused` for a server whose counters have grown, once per
/// Round() at most, however many clients there are.
class ServerReports
{
public:
  /// How often Round() is to be called.
  static constexpr Duration kInterval = std::chrono::seconds(1);

  explicit ServerReports(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  /// `aName` is the server's label.
  void Add(std::string aName, const net::HttpServer& aServer);

  void Round();

private:
  struct Reported
  {
    std::string mName;
    std::function<net::HttpServerCounters()> mCounters;
    net::HttpServerCounters mLogged;
  };

  Metrics& mMetrics;
  std::vector<Reported> mServers;
};

} // namespace foxtailbarrow
