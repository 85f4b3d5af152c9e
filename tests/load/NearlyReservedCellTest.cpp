// On a quiet day a cell earned 0.25 to 0.40 of its leftover work: standing
// tasks had reserved 88 % of its processors, and each worker served two to four
// images. Of the 2,350 cores that they left, leftover tasks used 860, while 300
// tasks waited:
//
//   leftover-load "left=2365 wanted=1383 stalled=276 used=795 ..."
//   step-waits "image=56acce idle=18 full=13 pressed=25 crowded=20 ..."
//
// Room for leftover work was planned from the mean latency of a serving image.
// But the load of a standing job swings, for all of its tasks at once: the
// latencies of 14 tasks of one job went from 0.28 to 0.78 of the target and
// back every 14 s and differed by a tenth at any moment. At the bottom of a
// swing workers refused work that they could bear. At the top they held work
// down that they had taken, and it kept its room. Swings were taken for
// pressure of whatever ran there at the time, too.

#include <string>

#include <gtest/gtest.h>

#include "tests/load/LoadReplay.h"

namespace foxtailbarrow::cell::test {

namespace {

/// A quarter of the cell of that day: the same share of its processors is
/// reserved, and leftover work wants half of what is left.
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

TEST(NearlyReservedCell, EarnsMostOfItsLeftoverWork)
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
  // Ten replays: 0.469 and 0.009 with room planned from the image's mean, 0.595
  // and 0.006 with it planned from the load of each job.
  EXPECT_GT(mean.mOnTime, 0.53);
  EXPECT_LT(mean.mOverTarget, 0.008);
}

} // namespace

} // namespace foxtailbarrow::cell::test
