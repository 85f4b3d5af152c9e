#include "apps/agent/AgentSettings.h"

#include "src/telemetry/Settings.h"

namespace foxtailbarrow {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

void AddIdentity(Settings& aSettings, AgentSettings& aValues)
{
  aSettings
    .AddId("--id", aValues.mId, "Name of this agent, unique in the fleet")
    .Required();
  aSettings
    .AddId("--service", aValues.mService, "Service of the backend server")
    .Required();
  aSettings.AddId("--rack", aValues.mRack, "Rack of this VM").Required();
  aSettings
    .AddId(
      "--failure-domain", aValues.mFailureDomain, "Failure domain of this VM")
    .Required();
}

void AddAddresses(Settings& aSettings, AgentSettings& aValues)
{
  aSettings.AddListen(
    "--listen", aValues.mListen, "Address to serve entries on");
  aSettings.AddEndpoint("--backend", aValues.mBackend, "The backend server")
    .Required();
  aSettings.AddEndpoint("--worker", aValues.mWorker, "The platform's worker")
    .Required();
  aSettings
    .AddEndpoints(
      "--entries", aValues.mEntries, "Entries to send the first heartbeats to")
    .Required();
}

void AddSizes(Settings& aSettings, AgentSettings& aValues)
{
  const SettingRange<std::int64_t> amount{ 0, 1'000'000'000 };
  aSettings.AddCount("--slots",
                     aValues.mSlots.mSlots,
                     { 1, 10'000 },
                     "Requests that the backend server runs at a time");
  aSettings.AddCount("--max-waiting",
                     aValues.mSlots.mMaxWaiting,
                     { 0, 100'000 },
                     "Requests that may wait for a slot");
  aSettings.AddCount("--service-millicores",
                     aValues.mServiceReserve.mMillicores,
                     amount,
                     "Processors kept for the service, in thousandths");
  aSettings.AddCount("--service-memory-mb",
                     aValues.mServiceReserve.mMemoryMb,
                     amount,
                     "Memory kept for the service, in MiB");
  aSettings.AddCount("--service-accelerators",
                     aValues.mServiceReserve.mAccelerators,
                     amount,
                     "Accelerators kept for the service");
  aSettings.AddCount(
    "--threads", aValues.mThreads, { 1, 64 }, "Threads of this process");
  aSettings.AddCount("--memory-mb",
                     aValues.mMemoryMb,
                     { 32, 1'000'000 },
                     "Memory available to it, in MB");
  aSettings.AddCount("--max-descriptors",
                     aValues.mMaxDescriptors,
                     { 0, 1'000'000 },
                     "Descriptors that it may open; 0 = as the system allows");
  aSettings.AddCount("--shards",
                     aValues.mShards,
                     { 1, 65'536 },
                     "Shards of the job space; the same in every process");
}

void AddTimes(Settings& aSettings, AgentSettings& aValues)
{
  const SettingRange<Duration> interval{ milliseconds(20), minutes(1) };
  const SettingRange<Duration> timeout{ milliseconds(1), minutes(60) };
  aSettings.AddMilliseconds("--heartbeat-ms",
                            aValues.mHeartbeat,
                            interval,
                            "Interval between heartbeats");
  aSettings.AddMilliseconds("--default-deadline-ms",
                            aValues.mDefaultDeadline,
                            timeout,
                            "Deadline of requests without one");
  aSettings.AddMilliseconds("--drain-timeout-ms",
                            aValues.mDrainTimeout,
                            timeout,
                            "Maximum time to finish work on shutdown");
  aSettings.AddMilliseconds("--worker-timeout-ms",
                            aValues.mWorkerTimeout,
                            timeout,
                            "Timeout of a call to the worker");
  aSettings.AddMilliseconds("--view-interval-ms",
                            aValues.mViewInterval,
                            interval,
                            "Interval between polls of the worker");
  aSettings.AddMilliseconds("--backend-probe-ms",
                            aValues.mBackendProbe,
                            interval,
                            "Interval between probes of the backend server");
}

} // namespace

std::optional<int> ParseAgentSettings(int argc,
                                      const char* const* argv,
                                      AgentSettings& aValues)
{
  Settings settings("foxtailbarrow-agent",
                    "Runs next to a backend server: admits its requests and "
                    "manages the tasks of its worker");
  AddIdentity(settings, aValues);
  AddAddresses(settings, aValues);
  AddSizes(settings, aValues);
  AddTimes(settings, aValues);
  settings.AddLogLevel(aValues.mLogLevel);
  return settings.Parse(argc, argv);
}

} // namespace foxtailbarrow
