#include <iostream>

#include "src/net/FiberRuntime.h"
#include "src/telemetry/Settings.h"
#include "standins/taskworker/TaskWorkerService.h"

int main(int argc, char** argv)
{
  using namespace foxtailbarrow;
  net::BlockSignals();
  standin::TaskWorkerService::Registration registration{
    { "127.0.0.1", 0 }, {}, "worker", "service", "rack"
  };
  Settings settings("foxtailbarrow-standin-taskworker",
                    "Worker of the users' platform, for tests");
  settings.AddListen("--listen", registration.mListen, "Address for commands");
  settings
    .AddEndpoint("--agent", registration.mAgent, "Its agent's control address")
    .Required();
  settings.AddText(
    "--name", registration.mName, "Name prefix of its incarnations");
  settings.AddText(
    "--service", registration.mService, "Service whose tasks it runs");
  settings.AddText("--rack", registration.mRack, "Rack of its machine");
  if (const auto code = settings.Parse(argc, argv)) {
    return *code;
  }
  net::FiberRuntime runtime(1);
  const auto service = standin::TaskWorkerService::Start(
    runtime,
    registration,
    {},
    1,
    [](const std::string&, const standin::RunEvent&) {});
  if (!service.ok()) {
    std::cerr << service.status().message() << '\n';
    return 1;
  }
  net::WaitForSignal();
  return 0;
}
