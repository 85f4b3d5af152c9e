#include "src/core/cell/OutagePolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow::cell {

namespace {

/// Shortest delay that the header can express.
constexpr double kMinSeconds = 1.0;
/// Longest mean delay. Callers wait for a few seconds; one that is given a
/// longer delay gives up although the store may be back in time.
constexpr double kMaxSeconds = 4.0;
/// Share of the outage's age: half of the expected remaining time, so that a
/// caller retries more than once within it.
constexpr double kShareOfAge = 0.5;
/// Jitter, as a share of the mean delay either way.
constexpr double kJitter = 0.5;
/// Jobs in doubt at a time. More than the submissions that arrive before a
/// silent store is detected.
constexpr std::size_t kMaxInDoubt = 1024;

} // namespace

Duration RetryDelay(Duration aOutageAge, double aRandom)
{
  const std::chrono::duration<double> age = aOutageAge;
  const double mean =
    std::clamp(kShareOfAge * age.count(), kMinSeconds, kMaxSeconds);
  const double delay = mean * (1.0 - kJitter + 2.0 * kJitter * aRandom);
  return std::chrono::seconds(
    std::max<std::int64_t>(1, std::llround(std::max(delay, kMinSeconds))));
}

void OutagePolicy::MarkInDoubt(const JobId& aJob, Instant aNow)
{
  std::erase_if(mInDoubt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kInDoubtFor;
  });
  if (mInDoubt.size() < kMaxInDoubt) {
    mInDoubt[aJob] = aNow;
  }
}

bool OutagePolicy::InDoubt(const JobId& aJob, Instant aNow) const
{
  const auto found = mInDoubt.find(aJob);
  return found != mInDoubt.end() && aNow - found->second <= kInDoubtFor;
}

} // namespace foxtailbarrow::cell
