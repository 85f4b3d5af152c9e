#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Logarithm of a serving image's tail latency over its target with nothing
/// beside it: it swings.
double BaselineLatency(int aServingImage, Instant aNow);

/// By how much a leftover task of the image raises that logarithm at full pace.
/// Hidden from the system under test; changes every some seconds.
double BestEffortInterference(int aServingImage,
                              int aBestEffortImage,
                              Instant aNow);

/// What one serving task tells of itself, and what is true of it. Pure.
class ServingMeter
{
public:
  /// Until `aNow` its latency was by `aBaseline` and `aInterference`
  /// (logarithms) over the target.
  void Update(double aBaseline,
              double aInterference,
              Instant aNow,
              std::mt19937& aRandom);

  /// The tail latency that it tells, in ms: rough, of the last half second; 0
  /// before the first one.
  std::int64_t ReportedMs() const { return mReportedMs; }
  /// Since when it is over its target by what runs beside it; empty = it is
  /// not.
  std::optional<Instant> OverSince() const { return mOverSince; }

private:
  std::optional<Instant> mUpdatedAt;
  Duration mCovered{};
  double mSum = 0; ///< Of the logarithms, weighted by seconds.
  std::int64_t mReportedMs = 0;
  std::optional<Instant> mOverSince;
};

/// Target of every serving task.
inline constexpr std::int64_t kServingTargetMs = 200;

} // namespace foxtailbarrow::standin
