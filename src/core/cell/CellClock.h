#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Moments as both clocks show them: intervals are judged by the monotonic
/// one, due times by the time of day.
struct CellClock
{
  Instant mNow{};
  std::int64_t mUnixMs = 0;
};

} // namespace foxtailbarrow::cell
