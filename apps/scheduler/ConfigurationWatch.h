#pragma once

#include <functional>
#include <memory>
#include <string_view>

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

  /// Null before the first configuration was read.
  std::shared_ptr<const cell::CellConfiguration> Current() const
  {
    return mCurrent;
  }

  /// When the store was last heard of.
  Instant HeardAt() const { return mHeardAt; }

private:
  void Take(std::string_view aText);
  void NoteHeard(bool aHeard, std::string_view aError = {});

  Store& mStore;
  OnChange mOnChange;
  std::shared_ptr<const cell::CellConfiguration> mCurrent;
  Instant mHeardAt{};
  bool mHears = false;
};

} // namespace foxtailbarrow::scheduler
