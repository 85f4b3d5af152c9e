#include "src/core/cell/OutagePolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

namespace {

/// Shortest wait: what the header can say.
constexpr double kLeastSeconds = 1.0;
/// Longest mean wait. Callers wait for a few seconds; one that is told more
/// gives up although the store may be back within its time.
constexpr double kMostSeconds = 4.0;
/// Of the outage's age: half of what is expected to be left of it, so that a
/// caller tries more than once within that.
constexpr double kShareOfAge = 0.5;
/// Waits lie within this share of their mean, either way.
constexpr double kSpread = 0.5;
/// Jobs that may be in doubt at a time. Above the submissions that come before
/// a silence is noticed.
constexpr std::size_t kMostInDoubt = 1024;

} // namespace

Duration RetryDelay(Duration aOutageAge, double aRandom)
{
  const std::chrono::duration<double> age = aOutageAge;
  const double mean =
    std::clamp(kShareOfAge * age.count(), kLeastSeconds, kMostSeconds);
  const double wait = mean * (1.0 - kSpread + 2.0 * kSpread * aRandom);
  return std::chrono::seconds(
    std::max<std::int64_t>(1, std::llround(std::max(wait, kLeastSeconds))));
}

void OutagePolicy::MarkInDoubt(const JobId& aJob, Instant aNow)
{
  std::erase_if(mInDoubt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kInDoubtFor;
  });
  if (mInDoubt.size() < kMostInDoubt) {
    mInDoubt[aJob] = aNow;
  }
}

bool OutagePolicy::InDoubt(const JobId& aJob, Instant aNow) const
{
  const auto found = mInDoubt.find(aJob);
  return found != mInDoubt.end() && aNow - found->second <= kInDoubtFor;
}

} // namespace foxtailbarrow::cell
