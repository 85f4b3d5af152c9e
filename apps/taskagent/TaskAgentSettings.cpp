#include "apps/taskagent/TaskAgentSettings.h"

#include "src/telemetry/Settings.h"

namespace foxtailbarrow::taskagent {

std::optional<int> ParseTaskAgentSettings(int argc,
                                          const char* const* argv,
                                          TaskAgentSettings& aSettings)
{
  Settings settings("foxtailbarrow-taskagent",
                    "Runs the tasks of one worker for the cell's owner");
  settings.AddId("--id", aSettings.mId, "Unique name of this agent in the cell")
    .Required();
  settings
    .AddListen("--listen", aSettings.mListen, "Address for the cell's owner")
    .Required();
  settings.AddEndpoint(
    "--advertise",
    aSettings.mAdvertised,
    "Address at which the owner reaches it; defaults to --listen");
  settings.AddListen("--control", aSettings.mControl, "Address for the worker")
    .Required();
  settings
    .AddEndpoint("--worker", aSettings.mWorker, "The worker on this machine")
    .Required();
  settings.AddEndpoint("--store", aSettings.mStore, "The platform's store")
    .Required();
  settings.AddListen(
    "--metrics", aSettings.mMetrics, "Address for metrics and state");
  settings.AddEndpoints(
    "--seeds", aSettings.mSeeds, "Schedulers to ask for the owner");
  settings.AddCount("--memory-mb",
                    aSettings.mMemoryMb,
                    { 32, 1'000'000 },
                    "Memory available to it, in MB");
  settings.AddCount("--max-descriptors",
                    aSettings.mMaxDescriptors,
                    { 0, 1'000'000 },
                    "Descriptors that it may open; 0 = as the system allows");
  settings.AddLogLevel(aSettings.mLogLevel);
  const auto exitCode = settings.Parse(argc, argv);
  if (aSettings.mAdvertised.mPort == 0) {
    aSettings.mAdvertised = aSettings.mListen;
  }
  return exitCode;
}

} // namespace foxtailbarrow::taskagent
