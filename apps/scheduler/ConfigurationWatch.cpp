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

Duration ConfigurationWatch::Round()
{
  const auto entry = mStore.Read(platform::kConfigurationKey);
  if (!entry.ok() && !absl::IsNotFound(entry.status())) {
    NoteHeard(false, entry.status().ToString());
    return kRetry;
  }
  NoteHeard(true);
  if (!entry.ok()) {
    return kRetry;
  }
  Take(entry->mValue);
  const absl::Status ended = mStore.Watch(
    platform::kConfigurationKey,
    WatchStart(*entry),
    [this](const std::vector<StoreEvent>& aEvents) {
      NoteHeard(true);
      for (const StoreEvent& event : aEvents) {
        if (event.mValue && event.mKey == platform::kConfigurationKey) {
          Take(*event.mValue);
        }
      }
      return true;
    });
  LogDebug("configuration-watch-ended", { { "error", ended.ToString() } });
  return ended.ok() ? Duration(1) : kRetry;
}

void ConfigurationWatch::Take(std::string_view aText)
{
  auto parsed = platform::ParseConfiguration(aText);
  if (!parsed.ok()) {
    LogError("configuration-unreadable",
             { { "error", parsed.status().ToString() } });
    return;
  }
  if (mCurrent && parsed->mVersion <= mCurrent->mVersion) {
    return;
  }
  LogChange("configuration",
            { { "version", parsed->mVersion },
              { "before", mCurrent ? mCurrent->mVersion : 0 },
              { "routes", parsed->mRoutes.size() } });
  mCurrent =
    std::make_shared<const cell::CellConfiguration>(*std::move(parsed));
  mOnChange(*mCurrent);
}

void ConfigurationWatch::NoteHeard(bool aHeard, std::string_view aError)
{
  if (aHeard) {
    mHeardAt = MonotonicNow();
  }
  if (aHeard == std::exchange(mHears, aHeard)) {
    return;
  }
  if (aHeard) {
    LogChange("store-reached");
  } else {
    LogWarning("store-lost", { { "error", aError } });
  }
}

} // namespace foxtailbarrow::scheduler
