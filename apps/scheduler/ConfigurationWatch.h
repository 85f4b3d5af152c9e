#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/core/base/Snapshot.h"
#include "src/core/cell/CellConfiguration.h"
#include "src/core/cell/workers/CordonTable.h"
#include "src/core/retry/Backoff.h"

namespace foxtailbarrow::scheduler {

/// Watches what the operator writes to the store: the configuration and the
/// cordons of failure domains. Publishes each newer version of the former and
/// each change of the latter; older ones are ignored.
class ConfigurationWatch
{
public:
  using OnChange = std::function<void(const cell::CellConfiguration&)>;
  using OnCordons = std::function<void(const cell::CordonTable&)>;

  ConfigurationWatch(Store& aStore, OnChange aOnChange, OnCordons aOnCordons);

  /// Reads the configuration and watches it until the store fails. Returns the
  /// pause before the next round.
  Duration Round();

  /// Reads the configuration and the cordons again.
  absl::Status Refresh() { return Read().status(); }

  /// Cordons that another scheduler knows of.
  void MergeCordons(std::span<const cell::DomainCordon> aRows);
  const cell::CordonTable& Cordons() const { return mCordons; }

  /// To be called after the machine was suspended: until Confirm() succeeds,
  /// the known configuration may be outdated and the watch's connection dead.
  void MarkStale()
  {
    mStale = true;
    ++mStaleMarks;
  }
  /// Reads the configuration again if it was marked stale. The first one is
  /// read by Round(). Returns the pause before the next attempt, or zero if
  /// none is needed.
  Duration Confirm();

  /// The configuration for callers' requests; null before the first read and
  /// while stale.
  std::shared_ptr<const cell::CellConfiguration> Current() const
  {
    return mStale ? nullptr : mNewest;
  }
  /// The newest configuration, even if stale; null before the first read.
  std::shared_ptr<const cell::CellConfiguration> Newest() const
  {
    return mNewest;
  }

  /// True once the operator's configuration was found, also if it could not be
  /// read: an owner keeps what runs.
  bool Found() const { return mNewest != nullptr || mUnreadable.has_value(); }

  /// When the store last answered.
  Instant LastContactAt() const { return mLastContactAt; }

private:
  absl::StatusOr<StoreListing> Read();
  void OnEvents(const std::vector<StoreEvent>& aEvents);
  void Publish(std::span<const cell::DomainCordon> aChanged);
  void Apply(std::string_view aText);
  void SetReachable(bool aReachable, std::string_view aError = {});

  Store& mStore;
  OnChange mOnChange;
  OnCordons mOnCordons;
  std::shared_ptr<const cell::CellConfiguration> mNewest;
  cell::CordonTable mCordons;
  /// Hash of the last configuration that could not be read.
  std::optional<std::size_t> mUnreadable;
  bool mStale = true;
  std::uint64_t mStaleMarks = 0; ///< Calls of MarkStale().
  Instant mLastContactAt{};
  bool mReachable = false;
  std::mt19937_64 mRandom{ std::random_device{}() };
  Backoff mBackoff;
};

} // namespace foxtailbarrow::scheduler
