#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Numbers that all entries of a fleet must agree on.
struct ShareSettings
{
  /// Part of each limit that is split over the share slots, in thousandths.
  std::int32_t mStandingPermille = 500;
  /// Share slots: the number of entries planned for the whole fleet.
  std::int32_t mSlots = 3;
  /// How long a roster may be used, from the start of the renewal that read it.
  /// Below the store lease of the roster key, clock error included.
  Duration mValidity = std::chrono::seconds(3);
  /// On top of the validity: how much longer a new entry waits.
  Duration mMargin = std::chrono::seconds(1);
  /// How long a slot may be used without contact to the store.
  Duration mStandingValidity = std::chrono::minutes(110);
  /// How long others leave the slot of a vanished entry alone. Above
  /// mStandingValidity, clock error included.
  Duration mReclaimDelay = std::chrono::minutes(120);
};

} // namespace foxtailbarrow
