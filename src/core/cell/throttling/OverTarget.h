#pragma once

#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// A serving image that is over its target latency on a worker, for the log.
struct OverTarget
{
  std::string mImage;
  Duration mOver{};         ///< How long it has been over the target.
  double mLatencyShare = 0; ///< Tail latency / target, smoothed.
  /// Colocated best-effort images, each with the throttle of its task in
  /// percent.
  std::vector<std::string> mColocated;
};

} // namespace foxtailbarrow::cell
