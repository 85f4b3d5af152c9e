#include "apps/scheduler/ConfigurationWatch.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/hash/hash.h"

#include "platform/ConfigurationCodec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

namespace {

constexpr Duration kRetry = std::chrono::milliseconds(100);
/// While the store accepts no watch, a change is found by listing, within half
/// of the shortest time in which it must be in force.
constexpr Duration kLongestRetry = std::chrono::milliseconds(1000);

/// Says what of a configuration is not used as it was written.
void LogNotices(std::int64_t aVersion, std::span<const std::string> aNotices)
{
  constexpr std::size_t kMaxLines = 8;
  for (const std::string& notice :
       aNotices.first(std::min(aNotices.size(), kMaxLines))) {
    LogWarning("configuration-reduced",
               { { "version", aVersion },
                 { "field", notice },
                 { "of", aNotices.size() } });
  }
}

} // namespace

ConfigurationWatch::ConfigurationWatch(Store& aStore,
                                       OnChange aOnChange,
                                       OnCordons aOnCordons)
  : mStore(aStore)
  , mOnChange(std::move(aOnChange))
  , mOnCordons(std::move(aOnCordons))
  , mBackoff(kRetry, kLongestRetry)
{
}

absl::StatusOr<StoreListing> ConfigurationWatch::Read()
{
  const std::uint64_t staleMarks = mStaleMarks;
  auto listing = mStore.List(platform::kOperatorPrefix);
  SetReachable(listing.ok(), listing.ok() ? "" : listing.status().ToString());
  if (!listing.ok()) {
    return listing;
  }
  std::vector<cell::DomainCordon> cordons;
  for (const StoreEntry& entry : listing->mEntries) {
    if (const auto domain = platform::CordonedDomain(entry.mKey)) {
      cordons.push_back({ *domain, true, entry.mModRevision });
    }
  }
  // First the cordons: a configuration may let an owner start tasks.
  Publish(mCordons.MergeListing(cordons, listing->mRevision));
  for (const StoreEntry& entry : listing->mEntries) {
    if (entry.mKey == platform::kConfigurationKey) {
      Apply(entry.mValue);
    }
  }
  // Stays stale if it was marked again during the read.
  mStale = mStale && staleMarks != mStaleMarks;
  return listing;
}

void ConfigurationWatch::MergeCordons(std::span<const cell::DomainCordon> aRows)
{
  Publish(mCordons.Merge(aRows));
}

void ConfigurationWatch::Publish(std::span<const cell::DomainCordon> aChanged)
{
  for (const cell::DomainCordon& row : aChanged) {
    LogChange("cordon",
              { { "domain", row.mDomain },
                { "cordoned", row.mCordoned ? 1 : 0 },
                { "revision", row.mRevision } });
  }
  if (!aChanged.empty()) {
    mOnCordons(mCordons);
  }
}

void ConfigurationWatch::OnEvents(const std::vector<StoreEvent>& aEvents)
{
  SetReachable(true);
  std::vector<cell::DomainCordon> cordons;
  for (const StoreEvent& event : aEvents) {
    if (const auto domain = platform::CordonedDomain(event.mKey)) {
      cordons.push_back(
        { *domain, event.mValue.has_value(), event.mModRevision });
    } else if (event.mValue && event.mKey == platform::kConfigurationKey) {
      Apply(*event.mValue);
    }
  }
  MergeCordons(cordons);
}

Duration ConfigurationWatch::Confirm()
{
  const bool stale = mStale && mNewest != nullptr;
  return !stale || Read().ok() ? Duration::zero() : kRetry;
}

Duration ConfigurationWatch::Round()
{
  const auto listing = Read();
  if (!listing.ok()) {
    return mBackoff.Next(mRandom);
  }
  const absl::Status ended =
    mStore.Watch(platform::kOperatorPrefix,
                 listing->mRevision,
                 [this](const std::vector<StoreEvent>& aEvents) {
                   mBackoff.Reset();
                   OnEvents(aEvents);
                   return true;
                 });
  LogDebug("configuration-watch-ended", { { "error", ended.ToString() } });
  return ended.ok() ? Duration(1) : mBackoff.Next(mRandom);
}

void ConfigurationWatch::Apply(std::string_view aText)
{
  std::vector<std::string> notices;
  auto parsed = platform::ParseConfiguration(aText, notices);
  if (!parsed.ok()) {
    // Each listing shows it again.
    if (const auto text =
          absl::HashOf(absl::string_view(aText.data(), aText.size()));
        mUnreadable != text) {
      mUnreadable = text;
      LogError("configuration-unreadable",
               { { "error", parsed.status().ToString() },
                 { "inForce", mNewest ? mNewest->mVersion : 0 } });
    }
    return;
  }
  if (mNewest && parsed->mVersion <= mNewest->mVersion) {
    return;
  }
  LogChange("configuration",
            { { "version", parsed->mVersion },
              { "before", mNewest ? mNewest->mVersion : 0 },
              { "routes", parsed->mRoutes.size() } });
  LogNotices(parsed->mVersion, notices);
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
