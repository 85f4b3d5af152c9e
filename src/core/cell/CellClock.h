#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// The current time by both clocks: the monotonic one for intervals, the time
/// of day for due times.
struct CellClock
{
  Instant mNow{};
  std::int64_t mUnixMs = 0;
};

} // namespace foxtailbarrow::cell
