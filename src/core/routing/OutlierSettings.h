#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct OutlierSettings
{
  /// Failures in a row that eject at once.
  std::uint32_t mConsecutiveFailures = 3;

  /// Share of failures within a window that ejects, given enough requests.
  double mFailureRate = 0.5;
  std::uint32_t mMinRequests = 20;

  /// Mean latency in relation to the median over the service's agents, and the
  /// least distance from it, that count as slow; windows in a row that eject.
  double mSlowFactor = 3.0;
  Duration mSlowMargin = std::chrono::milliseconds(10);
  std::uint32_t mSlowWindows = 2;

  /// Largest share of a service's agents that is ejected at a time.
  double mMaxEjectedShare = 0.3;

  Duration mFirstEjection = std::chrono::seconds(2); ///< Doubled each time.
  Duration mLongestEjection = std::chrono::seconds(60);
  std::uint32_t mProbesToReadmit = 2; ///< Probes that succeed in a row.
};

} // namespace foxtailbarrow
