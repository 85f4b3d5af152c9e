#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailbarrow::cell {

enum class ThrottleReason : std::uint8_t
{
  Interferes, ///< It interferes most with a serving task over its target.
  LongOver,   ///< It may interfere with one that has long been over its target.
  TooLongOver, ///< As LongOver, for longer, whatever its weight.
  HasHeadroom, ///< The colocated serving tasks have headroom.
};

std::string_view ToString(ThrottleReason aReason);

/// Why a throttle was set, for the log.
struct ThrottleCause
{
  ThrottleReason mReason = ThrottleReason::HasHeadroom;
  std::string mServing; ///< Image of the serving task; empty with HasHeadroom.
  double mLatencyShare = 0; ///< Its tail latency as a share of its target.
  double mPerCore = 0; ///< Interference weight of the pair of images per core.
};

} // namespace foxtailbarrow::cell
