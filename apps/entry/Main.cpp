#include <iostream>

#include "apps/entry/EntryProcess.h"
#include "apps/entry/EntrySettings.h"
#include "src/net/FiberRuntime.h"
#include "src/telemetry/Log.h"

namespace {

constexpr int kExitNotStarted = 1;

} // namespace

int main(int argc, char** argv)
{
  using namespace foxtailbarrow;

  entry::EntrySettings settings;
  if (const auto exitCode = entry::ParseSettings(argc, argv, settings)) {
    return *exitCode;
  }
  net::BlockSignals();
  ConfigureLog(settings.mLogLevel);
  entry::EntryProcess process(settings);
  if (const absl::Status status = process.Start(); !status.ok()) {
    std::cerr << "foxtailbarrow-entry: " << status.message() << "\n";
    return kExitNotStarted;
  }
  std::cout << "listening on " << ToString(process.CallersEndpoint())
            << " control " << ToString(process.ControlEndpoint()) << std::endl;
  LogChange("entry-started",
            { { "entry", settings.mId },
              { "callers", process.CallersEndpoint() },
              { "control", process.ControlEndpoint() } });
  net::WaitForSignal();
  LogChange("entry-draining", { { "entry", settings.mId } });
  process.Drain();
  LogChange("entry-stopped", { { "entry", settings.mId } });
  return 0;
}
