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

double OwnLatency(int aServing, Instant aNow)
{
  const double turns =
    SecondsOf(aNow.time_since_epoch()) / kSwingPeriod + 0.37 * aServing;
  return std::log(kCalmShare) + kSwing * std::sin(2 * std::numbers::pi * turns);
}

double PressureOf(int aServing, int aLeftover, Instant aNow)
{
  const auto epoch =
    static_cast<unsigned>(SecondsOf(aNow.time_since_epoch()) / kWeightsLast);
  std::minstd_rand weights(1 + epoch * 64 +
                           static_cast<unsigned>(aServing * 8 + aLeftover));
  weights.discard(4);
  return weights() % kHeavyOneIn == 0 ? kHeavy : kLight;
}

void ServingMeter::Take(double aOwn,
                        double aPressure,
                        Instant aNow,
                        std::mt19937& aRandom)
{
  const Duration passed = mTakenAt ? Duration(aNow - *mTakenAt) : Duration();
  mTakenAt = aNow;
  mSum += (aOwn + aPressure) * SecondsOf(passed);
  mCovered += passed;
  if (mCovered >= kFigureSpan) {
    const double noise = std::normal_distribution<double>(0, kNoise)(aRandom);
    mFigure = std::lround(static_cast<double>(kServingTargetMs) *
                          std::exp(mSum / SecondsOf(mCovered) + noise));
    mSum = 0;
    mCovered = {};
  }
  if (aOwn > 0 || aOwn + aPressure <= 0) {
    mOverSince.reset();
  } else if (!mOverSince) {
    mOverSince = aNow - passed;
  }
}

} // namespace foxtailbarrow::standin
