#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/core/base/Snapshot.h"
#include "src/core/cell/CellConfiguration.h"

namespace foxtailbarrow::scheduler {

/// Watches the operator's configuration in the store and publishes each newer
/// version. Older versions are ignored.
class ConfigurationWatch
{
public:
  using OnChange = std::function<void(const cell::CellConfiguration&)>;

  ConfigurationWatch(Store& aStore, OnChange aOnChange);

  /// Reads the configuration and watches it until the store fails. Returns the
  /// pause before the next round.
  Duration Round();

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

  /// When the store last answered.
  Instant LastContactAt() const { return mLastContactAt; }

private:
  absl::StatusOr<StoreEntry> Read();
  void Apply(std::string_view aText);
  void SetReachable(bool aReachable, std::string_view aError = {});

  Store& mStore;
  OnChange mOnChange;
  std::shared_ptr<const cell::CellConfiguration> mNewest;
  bool mStale = true;
  std::uint64_t mStaleMarks = 0; ///< Calls of MarkStale().
  Instant mLastContactAt{};
  bool mReachable = false;
};

} // namespace foxtailbarrow::scheduler
