// Guards against planning free capacity for best-effort work from the mean
// latency of a serving image. The load of a standing job swings for all of its
// tasks at once: on a replayed day the latencies of 14 tasks of one job went
// from 0.28 to 0.78 of the target and back every 14 s, and differed by a tenth
// at any moment. Planned from the mean, workers refused work at the bottom of a
// swing that they could have run, throttled at the top what they had accepted,
// while it kept its capacity, and the swings were mistaken for interference of
// whatever ran there at the time.
//
// With 88 % of the processors reserved by standing tasks and two to four images
// per worker, the cell then earned 0.25 to 0.40 of its best-effort work: of the
// 2,350 cores left, best-effort tasks used 860 while 300 tasks waited. At one
// moment 1,383 of 2,365 cores were wanted, 795 used and 276 wanted by stalled
// tasks.

#include <string>

#include <gtest/gtest.h>

#include "tests/load/LoadReplay.h"

namespace foxtailbarrow::cell::test {

namespace {

/// A quarter of that cell: the same share of its processors is reserved, and
/// best-effort work demands half of the rest.
LoadPattern NearlyReserved()
{
  LoadPattern pattern;
  pattern.mWorkers = 16;
  pattern.mStandingJobs = 10;
  pattern.mStandingReplicas = 7;
  pattern.mServingImages = 10;
  pattern.mBaselineShare = 0.42;
  pattern.mSwing = 0.5;
  pattern.mSwingPeriodS = 14;
  pattern.mBestEffortImages = 18;
  pattern.mBestEffortJobsPerS = 0.5;
  pattern.mBurstFromS = 10;
  pattern.mMaxReplicas = 38;
  pattern.mTaskS = 2.2;
  pattern.mHeavyShare = 0.25;
  pattern.mHeavyPerCore = 0.05;
  pattern.mLightPerCore = 0.005;
  return pattern;
}

TEST(NearlyReservedCell, CompletesMostOfItsBestEffortWork)
{
  constexpr int kSeeds = 10;
  LoadOutcome mean;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    LoadPattern pattern = NearlyReserved();
    pattern.mSeed = static_cast<std::uint32_t>(seed);
    const LoadOutcome outcome = LoadReplay(pattern, {}).Play();
    mean.mOnTime += outcome.mOnTime / kSeeds;
    mean.mOverTarget += outcome.mOverTarget / kSeeds;
  }
  // Ten replays: 0.469 and 0.009 with capacity planned from the image's mean,
  // 0.595 and 0.006 with capacity planned from the load of each job.
  EXPECT_GT(mean.mOnTime, 0.53);
  EXPECT_LT(mean.mOverTarget, 0.008);
}

} // namespace

} // namespace foxtailbarrow::cell::test
