#include "apps/scheduler/SchedulerSettings.h"

#include "src/telemetry/Settings.h"

namespace foxtailbarrow::scheduler {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

void AddAddresses(Settings& aSettings, SchedulerSettings& aValues)
{
  aSettings.AddListen("--listen", aValues.mListen, "Address for callers")
    .Required();
  aSettings
    .AddListen("--ready", aValues.mReady, "Address of the readiness check")
    .Required();
  aSettings
    .AddListen(
      "--peers", aValues.mPeers, "Address for agents and other schedulers")
    .Required();
  aSettings.AddEndpoint(
    "--advertise",
    aValues.mAdvertised,
    "Address at which others reach --peers; defaults to --peers");
  aSettings.AddListen(
    "--control", aValues.mControl, "Additional address for agents");
  aSettings.AddListen(
    "--metrics", aValues.mMetrics, "Address for metrics and state");
  aSettings.AddEndpoint("--store", aValues.mStore, "The platform's store")
    .Required();
  aSettings.AddEndpoint("--advice",
                        aValues.mAdvice,
                        "Service that chooses the workers of some queues");
  aSettings.AddEndpoints("--seeds",
                         aValues.mSeeds,
                         "Schedulers to ask while the store is unreachable");
}

void AddTimes(Settings& aSettings, SchedulerSettings& aValues)
{
  aSettings.AddMilliseconds("--max-hold-ms",
                            aValues.mMaxWorkerLease,
                            { milliseconds(1000), hours(1) },
                            "Longest lease that workers accept");
  aSettings.AddMilliseconds("--stop-ms",
                            aValues.mStopTime,
                            { milliseconds(0), hours(1) },
                            "Longest time that workers take to stop a task");
  aSettings.AddMilliseconds(
    "--config-apply-ms",
    aValues.mConfigurationTimeout,
    { milliseconds(1000), hours(1) },
    "Longest time until a change of the configuration is in force");
  aSettings.AddMilliseconds("--keep-ended-ms",
                            aValues.mKeepEnded,
                            { milliseconds(0), hours(24 * 30) },
                            "How long ended jobs can still be read");
  aSettings.AddMilliseconds("--drain-timeout-ms",
                            aValues.mDrainTimeout,
                            { milliseconds(0), hours(1) },
                            "Longest time from SIGTERM to exit");
}

} // namespace

std::optional<int> ParseSchedulerSettings(int argc,
                                          const char* const* argv,
                                          SchedulerSettings& aSettings)
{
  Settings settings(
    "foxtailbarrow-scheduler",
    "Accepts jobs and schedules them onto the workers of a cell");
  settings.AddId("--id", aSettings.mId, "Unique name of this scheduler")
    .Required();
  AddAddresses(settings, aSettings);
  AddTimes(settings, aSettings);
  settings.AddFraction("--processor-share",
                       aSettings.mProcessorShare,
                       { 0.0, 1024.0 },
                       "Processor time available to it, in cores");
  settings.AddCount("--memory-mb",
                    aSettings.mMemoryMb,
                    { 64, 1'000'000 },
                    "Memory available to it, in MB");
  settings.AddCount("--max-descriptors",
                    aSettings.mMaxDescriptors,
                    { 0, 1'000'000 },
                    "Descriptors that it may open; 0 = as the system allows");
  settings.AddLogLevel(aSettings.mLogLevel);
  const auto exitCode = settings.Parse(argc, argv);
  if (aSettings.mAdvertised.mPort == 0) {
    aSettings.mAdvertised = aSettings.mPeers;
  }
  return exitCode;
}

} // namespace foxtailbarrow::scheduler
