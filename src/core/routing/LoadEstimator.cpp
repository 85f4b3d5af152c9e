#include "src/core/routing/LoadEstimator.h"

#include <algorithm>
#include <limits>

namespace foxtailbarrow {

namespace {

constexpr unsigned kSlotsShift = 32;
constexpr unsigned kOthersShift = 48;
constexpr std::int32_t kMaxField = std::numeric_limits<std::uint16_t>::max();

/// Milliseconds modulo 2^32. Ages are signed, hence correct below 24 days.
std::uint32_t Milliseconds(Instant aTime)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime.time_since_epoch())
      .count());
}

std::uint64_t Field(std::int32_t aValue, std::int32_t aMin, unsigned aShift)
{
  const auto bounded = std::clamp(aValue, aMin, kMaxField);
  return static_cast<std::uint64_t>(bounded) << aShift;
}

} // namespace

void LoadEstimator::Report(const LoadSnapshot& aLoad, Instant aNow)
{
  const std::int32_t total = aLoad.mSlotsInUse + aLoad.mWaiting;
  const std::int32_t others = total - InFlight();
  mReport.store(Field(others, 0, kOthersShift) |
                  Field(aLoad.mSlots, 1, kSlotsShift) | Milliseconds(aNow),
                std::memory_order_relaxed);
}

LoadEstimate LoadEstimator::Estimate(Instant aNow, Duration aDecay) const
{
  const std::uint64_t report = mReport.load(std::memory_order_relaxed);
  const auto others = static_cast<std::uint16_t>(report >> kOthersShift);
  const auto slots = static_cast<std::uint16_t>(report >> kSlotsShift);
  const auto age = static_cast<std::int32_t>(
    Milliseconds(aNow) - static_cast<std::uint32_t>(report));
  const double decay = static_cast<double>(aDecay.count()) / 1000.0;
  const double weight = std::clamp(1.0 - age / decay, 0.0, 1.0);
  const double own = std::max(InFlight(), 0);
  return { own + weight * others, static_cast<double>(slots) };
}

} // namespace foxtailbarrow
