#pragma once

#include <chrono>
#include <cmath>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell::test {

/// The instant `aSeconds` after the start of a replay.
inline Instant At(double aSeconds)
{
  constexpr double kMicroseconds = 1e6;
  return Instant(std::chrono::seconds(1000)) +
         std::chrono::microseconds(std::llround(aSeconds * kMicroseconds));
}

} // namespace foxtailbarrow::cell::test
