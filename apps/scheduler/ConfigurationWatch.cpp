#include "apps/scheduler/ConfigurationWatch.h"

#include <chrono>
#include <utility>

#include "platform/ConfigurationCodec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

namespace {

constexpr Duration kRetry = std::chrono::milliseconds(100);

} // namespace

ConfigurationWatch::ConfigurationWatch(Store& aStore, OnChange aOnChange)
  : mStore(aStore)
  , mOnChange(std::move(aOnChange))
{
}

absl::StatusOr<StoreEntry> ConfigurationWatch::Read()
{
  const std::uint64_t staleMarks = mStaleMarks;
  auto entry = mStore.Read(platform::kConfigurationKey);
  const bool reachable = entry.ok() || absl::IsNotFound(entry.status());
  SetReachable(reachable, reachable ? "" : entry.status().ToString());
  if (entry.ok()) {
    Apply(entry->mValue);
    // Stays stale if it was marked again during the read.
    mStale = mStale && staleMarks != mStaleMarks;
  }
  return entry;
}

Duration ConfigurationWatch::Confirm()
{
  const bool stale = mStale && mNewest != nullptr;
  return !stale || Read().ok() ? Duration::zero() : kRetry;
}

Duration ConfigurationWatch::Round()
{
  const auto entry = Read();
  if (!entry.ok()) {
    return kRetry;
  }
  const absl::Status ended = mStore.Watch(
    platform::kConfigurationKey,
    WatchStart(*entry),
    [this](const std::vector<StoreEvent>& aEvents) {
      SetReachable(true);
      for (const StoreEvent& event : aEvents) {
        if (event.mValue && event.mKey == platform::kConfigurationKey) {
          Apply(*event.mValue);
        }
      }
      return true;
    });
  LogDebug("configuration-watch-ended", { { "error", ended.ToString() } });
  return ended.ok() ? Duration(1) : kRetry;
}

void ConfigurationWatch::Apply(std::string_view aText)
{
  auto parsed = platform::ParseConfiguration(aText);
  if (!parsed.ok()) {
    LogError("configuration-unreadable",
             { { "error", parsed.status().ToString() } });
    return;
  }
  if (mNewest && parsed->mVersion <= mNewest->mVersion) {
    return;
  }
  LogChange("configuration",
            { { "version", parsed->mVersion },
              { "before", mNewest ? mNewest->mVersion : 0 },
              { "routes", parsed->mRoutes.size() } });
  mNewest = std::make_shared<const cell::CellConfiguration>(*std::move(parsed));
  mOnChange(*mNewest);
}

void ConfigurationWatch::SetReachable(bool aReachable, std::string_view aError)
{
  if (aReachable) {
    mLastContactAt = MonotonicNow();
  }
  if (aReachable == std::exchange(mReachable, aReachable)) {
    return;
  }
  if (aReachable) {
    LogChange("store-reached");
  } else {
    LogWarning("store-lost", { { "error", aError } });
  }
}

} // namespace foxtailbarrow::scheduler
