#include "apps/entry/EntrySettings.h"

#include "src/telemetry/Settings.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxShards = 4096;
constexpr std::int64_t kMaxShareSlots = 1024;
constexpr Duration kMaxEndedRetention = std::chrono::hours(24 * 30);

} // namespace

std::optional<int> ParseSettings(int aCount,
                                 const char* const* aArguments,
                                 EntrySettings& aSettings)
{
  using std::chrono::hours;
  using std::chrono::milliseconds;

  Settings settings("foxtailbarrow-entry",
                    "Routes callers' requests and schedules jobs.");
  settings.AddId("--id", aSettings.mId, "id of this entry").Required();
  settings.AddListen("--listen", aSettings.mListen, "address for callers");
  settings.AddListen(
    "--control", aSettings.mControl, "address for control, metrics, state");
  settings.AddEndpoints("--store", aSettings.mStore, "the platform's store")
    .Required();
  settings
    .AddId(
      "--failure-domain", aSettings.mFailureDomain, "failure domain of this VM")
    .Required();
  settings.AddCount("--threads",
                    aSettings.mThreads,
                    { 1, kMaxThreads },
                    "threads that serve requests");
  settings.AddCount("--shards",
                    aSettings.mShards,
                    { 1, kMaxShards },
                    "shards of the job space; the same at every entry");
  settings.AddCount("--share-slots",
                    aSettings.mShareSlots,
                    { 1, kMaxShareSlots },
                    "planned number of entries; the same at every entry");
  settings.AddMilliseconds("--default-deadline-ms",
                           aSettings.mDefaultDeadline,
                           { milliseconds(10), hours(1) },
                           "deadline of requests without one");
  settings.AddMilliseconds("--max-deadline-ms",
                           aSettings.mMaxDeadline,
                           { milliseconds(10), hours(1) },
                           "maximum deadline of a request");
  settings.AddMilliseconds("--keep-ended-ms",
                           aSettings.mEndedRetention,
                           { std::chrono::seconds(1), kMaxEndedRetention },
                           "minimum time to keep records of ended jobs");
  settings.AddMilliseconds(
    "--drain-timeout-ms",
    aSettings.mDrainTimeout,
    { milliseconds(0), hours(1) },
    "maximum time to wait for requests in progress on shutdown");
  settings.AddCount("--memory-mb",
                    aSettings.mMemoryMb,
                    { 32, 1'000'000 },
                    "memory available to it, in MB");
  settings.AddCount("--max-descriptors",
                    aSettings.mMaxDescriptors,
                    { 0, 1'000'000 },
                    "descriptors that it may open; 0 = as the system allows");
  settings.AddLogLevel(aSettings.mLogLevel);
  return settings.Parse(aCount, aArguments);
}

} // namespace foxtailbarrow::entry
