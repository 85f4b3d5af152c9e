#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Settings that must be the same at all entries of a fleet.
struct ShareSettings
{
  /// Part of each limit that is split among the share slots, in thousandths.
  std::int32_t mStandingPermille = 500;
  /// Number of share slots: the planned number of entries of the fleet.
  std::int32_t mSlots = 3;
  /// How long a roster may be used, from the start of the renewal that read it.
  /// Must be below the store lease of the roster key, including clock error.
  Duration mValidity = std::chrono::seconds(3);
  /// Added to mValidity for the time that a new entry waits.
  Duration mMargin = std::chrono::seconds(1);
  /// How long a slot may be used without contact with the store.
  Duration mStandingValidity = std::chrono::minutes(110);
  /// How long other entries wait before they claim the slot of an absent entry.
  /// Must be above mStandingValidity, including clock error.
  Duration mReclaimDelay = std::chrono::minutes(120);
};

} // namespace foxtailbarrow
