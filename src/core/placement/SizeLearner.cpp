#include "src/core/placement/SizeLearner.h"

#include <algorithm>
#include <chrono>

namespace foxtailbarrow {

namespace {

constexpr double kProcessorQuantile = 0.95;
constexpr double kProcessorMargin = 1.15;
constexpr double kMemoryQuantile = 1.0;
constexpr double kMemoryMargin = 1.1;
/// Usage above this fraction of the reservation may have been limited by it.
constexpr double kNearlyAll = 0.9;
constexpr Resources kMinSize{ 50, 32, 0 };

std::int64_t Scaled(std::int64_t aAmount, double aFactor)
{
  return static_cast<std::int64_t>(static_cast<double>(aAmount) * aFactor);
}

/// True if the run may have needed more processors than were reserved.
bool MayHaveBeenLimited(const RunObservation& aRun)
{
  return aRun.mPeak.mMillicores >=
         Scaled(aRun.mReserved.mMillicores, kNearlyAll);
}

std::int64_t Reservation(const QuantileSketch& aSketch,
                         double aQuantile,
                         double aMargin,
                         std::int64_t aDeclared,
                         std::int64_t aLeast)
{
  const std::int64_t measured = Scaled(aSketch.Quantile(aQuantile), aMargin);
  const std::int64_t wanted = aSketch.Count() < SizeLearner::kEnoughRuns
                                ? std::max(aDeclared, measured)
                                : measured;
  return std::max(wanted, aLeast);
}

} // namespace

void SizeLearner::Observe(const ProgramKey& aKey, const RunObservation& aRun)
{
  if (mPrograms.size() >= kMaxPrograms && !mPrograms.contains(aKey)) {
    mPrograms.erase(mPrograms.begin());
  }
  Learned& learned = mPrograms[aKey];
  if (aRun.mPeak.mMillicores > 0) {
    learned.mMillicores.Add(aRun.mPeak.mMillicores);
    learned.mMillicoresToTry =
      MayHaveBeenLimited(aRun) ? aRun.mReserved.mMillicores * 2 : 0;
  }
  if (aRun.mMemoryOverrun) {
    learned.mMemoryMb.Add(aRun.mReserved.mMemoryMb * 2);
  } else if (aRun.mPeak.mMemoryMb > 0) {
    learned.mMemoryMb.Add(aRun.mPeak.mMemoryMb);
  }
  if (aRun.mFinished) {
    using Milliseconds = std::chrono::milliseconds;
    learned.mRunTimeMs.Add(
      std::chrono::duration_cast<Milliseconds>(aRun.mRunTime).count());
  }
}

Resources SizeLearner::Estimate(const ProgramKey& aKey,
                                const Resources& aDeclared) const
{
  const auto found = mPrograms.find(aKey);
  if (found == mPrograms.end()) {
    return aDeclared;
  }
  const Learned& learned = found->second;
  Resources size = aDeclared;
  size.mMillicores = Reservation(learned.mMillicores,
                                 kProcessorQuantile,
                                 kProcessorMargin,
                                 aDeclared.mMillicores,
                                 kMinSize.mMillicores);
  size.mMillicores = std::max(size.mMillicores, learned.mMillicoresToTry);
  size.mMemoryMb = Reservation(learned.mMemoryMb,
                               kMemoryQuantile,
                               kMemoryMargin,
                               aDeclared.mMemoryMb,
                               kMinSize.mMemoryMb);
  return size;
}

Duration SizeLearner::ExpectedRunTime(const ProgramKey& aKey,
                                      Duration aDeclared) const
{
  const auto found = mPrograms.find(aKey);
  if (found == mPrograms.end() ||
      found->second.mRunTimeMs.Count() < kEnoughRuns) {
    return aDeclared;
  }
  return std::chrono::milliseconds(found->second.mRunTimeMs.Quantile(0.5));
}

} // namespace foxtailbarrow
