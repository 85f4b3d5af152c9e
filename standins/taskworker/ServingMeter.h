#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Natural logarithm of a serving image's tail latency, relative to its target,
/// without colocated tasks. Oscillates over time.
double BaselineLatency(int aServingImage, Instant aNow);

/// Amount by which an unthrottled best-effort task of the image raises that
/// logarithm. Unknown to the system under test and redrawn every few seconds.
double BestEffortInterference(int aServingImage,
                              int aBestEffortImage,
                              Instant aNow);

/// The latency that a serving task reports, with noise, and whether it really
/// is over its target. No I/O, no clock.
class ServingMeter
{
public:
  /// From the last update until `aNow` the logarithm of the latency, relative
  /// to the target, was `aBaseline` + `aInterference`.
  void Update(double aBaseline,
              double aInterference,
              Instant aNow,
              std::mt19937& aRandom);

  /// Reported tail latency in ms: noisy, over the last half second; 0 before
  /// the first report.
  std::int64_t ReportedMs() const { return mReportedMs; }
  /// Since when interference alone has kept the true latency, without noise,
  /// over its target; nullopt when it does not.
  std::optional<Instant> OverSince() const { return mOverSince; }

private:
  std::optional<Instant> mUpdatedAt;
  Duration mCovered{};
  double mSum = 0; ///< Integral of the logarithm over seconds.
  std::int64_t mReportedMs = 0;
  std::optional<Instant> mOverSince;
};

/// Target of every serving task.
inline constexpr std::int64_t kServingTargetMs = 200;

} // namespace foxtailbarrow::standin
