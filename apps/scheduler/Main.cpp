#include <cstdlib>
#include <iostream>

#include "apps/scheduler/Scheduler.h"
#include "src/telemetry/Log.h"

using namespace foxtailbarrow;

int main(int argc, char** argv)
{
  scheduler::SchedulerSettings settings;
  if (const auto exitCode =
        scheduler::ParseSchedulerSettings(argc, argv, settings)) {
    return *exitCode;
  }
  net::BlockSignals();
  ConfigureLog(settings.mLogLevel, LogTarget::StandardOutput);
  LogChange("start",
            { { "scheduler", settings.mId }, { "listen", settings.mListen } });
  net::FiberRuntime runtime(1);
  scheduler::Scheduler scheduler(std::move(settings), runtime);
  if (const absl::Status status = scheduler.Start(); !status.ok()) {
    std::cerr << "cannot start: " << status << "\n";
    return 1;
  }
  const int signal = net::WaitForStop([] { LogChange("reload"); });
  LogChange("stop", { { "signal", signal } });
  scheduler.Drain();
  LogChange("drained");
  FlushLog();
  // Skips destructors: they would wait for pending calls to other processes.
  std::_Exit(0);
}
