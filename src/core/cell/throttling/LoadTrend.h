#pragma once

#include <string>

namespace foxtailbarrow::cell {

/// How fast the load of a serving image on one worker changes.
struct LoadTrend
{
  std::string mServing;
  /// Change of the logarithm of its tail latency, per second.
  double mRisePerS = 0;
};

} // namespace foxtailbarrow::cell
