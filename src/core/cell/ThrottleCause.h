#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailbarrow::cell {

enum class ThrottleReason : std::uint8_t
{
  Interferes,  ///< It presses most on a serving task that is over its target.
  LongOver,    ///< It may press, and one has been over its target for long.
  TooLongOver, ///< As LongOver, whatever it presses.
  HasHeadroom, ///< The serving tasks beside it have room.
};

std::string_view ToString(ThrottleReason aReason);

/// What a pace rests on, for the log.
struct ThrottleCause
{
  ThrottleReason mReason = ThrottleReason::HasHeadroom;
  std::string mServing; ///< Image of the serving task; empty with HasHeadroom.
  double mLatencyShare = 0; ///< Its tail latency over its target.
  double mPerCore = 0;      ///< Weight of the pair of images for each core.
};

} // namespace foxtailbarrow::cell
