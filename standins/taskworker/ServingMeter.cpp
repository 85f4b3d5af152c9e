#include "standins/taskworker/ServingMeter.h"

#include <chrono>
#include <cmath>
#include <numbers>

namespace foxtailbarrow::standin {

namespace {

constexpr double kCalmShare = 0.47; ///< Of the target, in mid swing.
constexpr double kSwing = 0.5;
constexpr double kSwingPeriod = 12; ///< Seconds.
constexpr double kHeavy = 0.7;
constexpr double kLight = 0.04;
constexpr unsigned kHeavyOneIn = 3;
constexpr double kWeightsLast = 10; ///< Seconds.
constexpr double kNoise = 0.1;
constexpr Duration kFigureSpan = std::chrono::milliseconds(500);

double SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double BaselineLatency(int aServingImage, Instant aNow)
{
  const double turns =
    SecondsOf(aNow.time_since_epoch()) / kSwingPeriod + 0.37 * aServingImage;
  return std::log(kCalmShare) + kSwing * std::sin(2 * std::numbers::pi * turns);
}

double BestEffortInterference(int aServingImage,
                              int aBestEffortImage,
                              Instant aNow)
{
  const auto epoch =
    static_cast<unsigned>(SecondsOf(aNow.time_since_epoch()) / kWeightsLast);
  std::minstd_rand weights(
    1 + epoch * 64 +
    static_cast<unsigned>(aServingImage * 8 + aBestEffortImage));
  weights.discard(4);
  return weights() % kHeavyOneIn == 0 ? kHeavy : kLight;
}

void ServingMeter::Update(double aBaseline,
                          double aInterference,
                          Instant aNow,
                          std::mt19937& aRandom)
{
  const Duration passed =
    mUpdatedAt ? Duration(aNow - *mUpdatedAt) : Duration();
  mUpdatedAt = aNow;
  mSum += (aBaseline + aInterference) * SecondsOf(passed);
  mCovered += passed;
  if (mCovered >= kFigureSpan) {
    const double noise = std::normal_distribution<double>(0, kNoise)(aRandom);
    mReportedMs = std::lround(static_cast<double>(kServingTargetMs) *
                              std::exp(mSum / SecondsOf(mCovered) + noise));
    mSum = 0;
    mCovered = {};
  }
  if (aBaseline > 0 || aBaseline + aInterference <= 0) {
    mOverSince.reset();
  } else if (!mOverSince) {
    mOverSince = aNow - passed;
  }
}

} // namespace foxtailbarrow::standin
