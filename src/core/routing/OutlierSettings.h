#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct OutlierSettings
{
  /// Consecutive failures that eject at once.
  std::uint32_t mConsecutiveFailures = 3;

  /// Failure rate that ejects, within a window of at least mMinRequests.
  double mFailureRate = 0.5;
  std::uint32_t mMinRequests = 20;

  /// An agent is slow if its mean latency exceeds the median over the service's
  /// agents by this factor and this margin. Consecutive slow windows eject.
  double mSlowFactor = 3.0;
  Duration mSlowMargin = std::chrono::milliseconds(10);
  std::uint32_t mSlowWindows = 2;

  /// Maximum share of a service's agents that is ejected at a time.
  double mMaxEjectedShare = 0.3;

  Duration mFirstEjection = std::chrono::seconds(2); ///< Doubled each time.
  Duration mLongestEjection = std::chrono::seconds(60);
  std::uint32_t mProbesToReadmit = 2; ///< Consecutive successes.
};

} // namespace foxtailbarrow
