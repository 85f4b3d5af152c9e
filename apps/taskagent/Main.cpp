#include <cstdlib>
#include <iostream>

#include "apps/taskagent/TaskAgent.h"
#include "src/telemetry/Log.h"

using namespace foxtailbarrow;

int main(int argc, char** argv)
{
  taskagent::TaskAgentSettings settings;
  if (const auto exitCode =
        taskagent::ParseTaskAgentSettings(argc, argv, settings)) {
    return *exitCode;
  }
  net::BlockSignals();
  ConfigureLog(settings.mLogLevel, LogTarget::StandardOutput);
  LogChange("start",
            { { "agent", settings.mId }, { "listen", settings.mListen } });
  net::FiberRuntime runtime(1);
  taskagent::TaskAgent agent(std::move(settings), runtime);
  if (const absl::Status status = agent.Start(); !status.ok()) {
    std::cerr << "cannot start: " << status << "\n";
    return 1;
  }
  const int signal = net::WaitForStop([] { LogChange("reload"); });
  LogChange("stop", { { "signal", signal } });
  FlushLog();
  // Skips destructors: they would wait for pending calls to other processes.
  std::_Exit(0);
}
