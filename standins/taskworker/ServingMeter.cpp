#include "standins/taskworker/ServingMeter.h"

#include <chrono>
#include <cmath>
#include <numbers>

namespace foxtailbarrow::standin {

namespace {

constexpr double kBaselineShare = 0.47; ///< Of the target, at zero swing.
constexpr double kSwing = 0.5;
constexpr double kSwingPeriod = 12; ///< Seconds.
constexpr double kHeavyInterference = 0.7;
constexpr double kLightInterference = 0.04;
constexpr unsigned kHeavyEvery = 3;
constexpr double kRedrawInterval = 10; ///< Seconds.
constexpr double kNoise = 0.1;
constexpr Duration kReportInterval = std::chrono::milliseconds(500);

double SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double BaselineLatency(int aServingImage, Instant aNow)
{
  const double periods =
    SecondsOf(aNow.time_since_epoch()) / kSwingPeriod + 0.37 * aServingImage;
  return std::log(kBaselineShare) +
         kSwing * std::sin(2 * std::numbers::pi * periods);
}

double BestEffortInterference(int aServingImage,
                              int aBestEffortImage,
                              Instant aNow)
{
  const auto epoch =
    static_cast<unsigned>(SecondsOf(aNow.time_since_epoch()) / kRedrawInterval);
  std::minstd_rand weights(
    1 + epoch * 64 +
    static_cast<unsigned>(aServingImage * 8 + aBestEffortImage));
  weights.discard(4);
  return weights() % kHeavyEvery == 0 ? kHeavyInterference : kLightInterference;
}

void ServingMeter::Update(double aBaseline,
                          double aInterference,
                          Instant aNow,
                          std::mt19937& aRandom)
{
  const Duration elapsed =
    mUpdatedAt ? Duration(aNow - *mUpdatedAt) : Duration();
  mUpdatedAt = aNow;
  mSum += (aBaseline + aInterference) * SecondsOf(elapsed);
  mCovered += elapsed;
  if (mCovered >= kReportInterval) {
    const double noise = std::normal_distribution<double>(0, kNoise)(aRandom);
    mReportedMs = std::lround(static_cast<double>(kServingTargetMs) *
                              std::exp(mSum / SecondsOf(mCovered) + noise));
    mSum = 0;
    mCovered = {};
  }
  if (aBaseline > 0 || aBaseline + aInterference <= 0) {
    mOverSince.reset();
  } else if (!mOverSince) {
    mOverSince = aNow - elapsed;
  }
}

} // namespace foxtailbarrow::standin
