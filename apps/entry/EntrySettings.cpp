#include "apps/entry/EntrySettings.h"

#include "src/telemetry/Settings.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxShards = 4096;
constexpr std::int64_t kMaxShareSlots = 1024;
constexpr Duration kMaxKeepEnded = std::chrono::hours(24 * 30);

} // namespace

std::optional<int> ParseSettings(int aCount,
                                 const char* const* aArguments,
                                 EntrySettings& aSettings)
{
  using std::chrono::hours;
  using std::chrono::milliseconds;

  Settings settings("foxtailbarrow-entry",
                    "Takes callers' requests and places jobs.");
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
                           "deadline of requests that state none");
  settings.AddMilliseconds("--max-deadline-ms",
                           aSettings.mMaxDeadline,
                           { milliseconds(10), hours(1) },
                           "longest deadline that a caller may state");
  settings.AddMilliseconds("--keep-ended-ms",
                           aSettings.mEndedRetention,
                           { std::chrono::seconds(1), kMaxKeepEnded },
                           "how long records of ended jobs stay at least");
  settings.AddMilliseconds("--drain-timeout-ms",
                           aSettings.mDrainTimeout,
                           { milliseconds(0), hours(1) },
                           "how long a stop waits for requests in progress");
  settings.AddLogLevel(aSettings.mLogLevel);
  return settings.Parse(aCount, aArguments);
}

} // namespace foxtailbarrow::entry
