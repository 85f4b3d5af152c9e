#include <iostream>

#include <boost/fiber/operations.hpp>

#include "src/net/FiberRuntime.h"
#include "src/net/HttpServer.h"
#include "src/telemetry/Settings.h"
#include "standins/worker/WorkerService.h"

using namespace foxtailbarrow;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

struct WorkerSettings
{
  Endpoint mListen{ "127.0.0.1", 0 };
  standin::TaskRunnerSettings mRunner{ { 64'000, 256'000, 0 } };
};

std::optional<int> ParseSettings(int argc, char** argv, WorkerSettings& aValues)
{
  Settings settings("foxtailbarrow-standin-worker",
                    "Stand-in of the platform's worker, for tests");
  settings.AddListen("--listen", aValues.mListen, "Address to serve on");
  const SettingRange<std::int64_t> any{ 0, 1'000'000'000 };
  Resources& capacity = aValues.mRunner.mCapacity;
  settings.AddCount(
    "--millicores", capacity.mMillicores, any, "Processors, in thousandths");
  settings.AddCount("--memory-mb", capacity.mMemoryMb, any, "Memory in MiB");
  settings.AddCount(
    "--accelerators", capacity.mAccelerators, any, "Whole accelerators");
  settings.AddMilliseconds("--usage-lag-ms",
                           aValues.mRunner.mUsageLag,
                           { Duration{}, std::chrono::minutes(10) },
                           "Age of reported usage");
  return settings.Parse(argc, argv);
}

} // namespace

int main(int argc, char** argv)
{
  WorkerSettings values;
  if (const auto exitCode = ParseSettings(argc, argv, values)) {
    return *exitCode;
  }
  net::BlockSignals();
  net::FiberRuntime runtime(1);
  standin::WorkerService service(values.mRunner);
  const auto server = net::HttpServer::Start(
    runtime, values.mListen, [&service](net::HttpRequest& aRequest) {
      return service.Handle(aRequest);
    });
  if (!server.ok()) {
    std::cerr << server.status() << "\n";
    return 1;
  }
  runtime.Spawn([&service] {
    for (;;) {
      service.Tick();
      boost::this_fiber::sleep_for(kTick);
    }
  });
  std::cout << "listening on " << ToString((*server)->ListeningEndpoint())
            << std::endl;
  net::WaitForSignal();
  (*server)->Drain();
  return 0;
}
