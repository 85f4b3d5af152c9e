#include <chrono>
#include <iostream>
#include <thread>

#include "src/net/FiberRuntime.h"
#include "src/net/HttpServer.h"
#include "src/telemetry/Settings.h"
#include "standins/backend/BackendService.h"

using namespace foxtailbarrow;

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(10);

struct ProgramSettings
{
  Endpoint mListen{ "127.0.0.1", 0 };
  standin::BackendSettings mService;
  unsigned mThreads = 1;
  std::size_t mConnections = 64;
  Duration mDrainNotice = std::chrono::seconds(3);
  Duration mDrainTimeout = std::chrono::seconds(30);
  bool mNoRecord = false;
};

std::optional<int> ParseSettings(int argc,
                                 char** argv,
                                 ProgramSettings& aValues)
{
  Settings settings("foxtailbarrow-standin-backend",
                    "Stand-in of a backend server, for tests");
  const SettingRange<Duration> anyTime{ Duration{}, std::chrono::minutes(10) };
  settings.AddListen("--listen", aValues.mListen, "Address to serve on");
  settings.AddCount(
    "--slots", aValues.mService.mSlots, { 1, 10'000 }, "Concurrent requests");
  settings.AddCount("--connections",
                    aValues.mConnections,
                    { 1, 10'000 },
                    "Connections accepted at most");
  settings.AddCount("--threads", aValues.mThreads, { 1, 64 }, "Threads");
  settings.AddMilliseconds(
    "--service-ms", aValues.mService.mService, anyTime, "Default service time");
  settings.AddMilliseconds(
    "--drain-notice-ms",
    aValues.mDrainNotice,
    anyTime,
    "Time for which /healthz responds with 503 before the port closes");
  settings.AddSwitch(
    "--no-record", aValues.mNoRecord, "Do not count executions by request id");
  return settings.Parse(argc, argv);
}

void WaitForRequests(const net::HttpServer& aServer, Duration aTimeout)
{
  const Instant end = MonotonicNow() + aTimeout;
  while (aServer.RequestsInProgress() > 0 && MonotonicNow() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace

int main(int argc, char** argv)
{
  ProgramSettings values;
  if (const auto exitCode = ParseSettings(argc, argv, values)) {
    return *exitCode;
  }
  values.mService.mRecord = !values.mNoRecord;
  net::BlockSignals();
  net::FiberRuntime runtime(values.mThreads);
  standin::BackendService service(values.mService);
  net::HttpServerLimits limits;
  limits.mMaxConnections = values.mConnections;
  const auto server = net::HttpServer::Start(
    runtime,
    values.mListen,
    [&service](net::HttpRequest& aRequest) { return service.Handle(aRequest); },
    limits);
  if (!server.ok()) {
    std::cerr << server.status() << "\n";
    return 1;
  }
  std::cout << "listening on " << ToString((*server)->ListeningEndpoint())
            << std::endl;
  net::WaitForSignal();
  service.Drain();
  std::this_thread::sleep_for(values.mDrainNotice);
  (*server)->Drain();
  WaitForRequests(**server, values.mDrainTimeout);
  return 0;
}
