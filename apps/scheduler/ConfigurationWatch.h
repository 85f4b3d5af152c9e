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

/// Follows the operator's configuration in the store and publishes each newer
/// version. Never goes back to an older one.
class ConfigurationWatch
{
public:
  using OnChange = std::function<void(const cell::CellConfiguration&)>;

  ConfigurationWatch(Store& aStore, OnChange aOnChange);

  /// Reads and then follows until the store fails. Returns the pause until the
  /// next round.
  Duration Round();

  /// The machine was suspended: what is known may be older than what is in
  /// force, and the connection of the watch may be dead, until Confirm().
  void MarkStale()
  {
    mStale = true;
    ++mStaleMarks;
  }
  /// Reads what is in force, where that is in doubt; the first one is read by
  /// Round(). Returns the pause until the next try; zero when there is none.
  Duration Confirm();

  /// What callers are answered by; null before the first configuration was
  /// read, and while it is in doubt.
  std::shared_ptr<const cell::CellConfiguration> Current() const
  {
    return mStale ? nullptr : mNewest;
  }
  /// The newest that was read, also in doubt; null before the first.
  std::shared_ptr<const cell::CellConfiguration> Newest() const
  {
    return mNewest;
  }

  /// When the store was last heard of.
  Instant LastContactAt() const { return mLastContactAt; }

private:
  absl::StatusOr<StoreEntry> Read();
  void Apply(std::string_view aText);
  void NoteHeard(bool aHeard, std::string_view aError = {});

  Store& mStore;
  OnChange mOnChange;
  std::shared_ptr<const cell::CellConfiguration> mNewest;
  bool mStale = true;
  std::uint64_t mStaleMarks = 0; ///< So far.
  Instant mLastContactAt{};
  bool mReachable = false;
};

} // namespace foxtailbarrow::scheduler
