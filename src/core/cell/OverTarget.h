#pragma once

#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// A serving image that is over its target latency on a worker, for the log.
struct OverTarget
{
  std::string mImage;
  Duration mOver{};         ///< For so long.
  double mLatencyShare = 0; ///< Tail latency over the target, smoothed.
  /// Leftover images beside it, each with the pace of its task in percent.
  std::vector<std::string> mColocated;
};

} // namespace foxtailbarrow::cell
