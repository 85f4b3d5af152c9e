#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/cell/WorkerInterference.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShare = 0.75;
const Instant kNow{ seconds(100) };

/// Two serving jobs of different images and up to three leftover images, with
/// weights of their own.
struct ColocatedLoad
{
  InterferenceEstimator mLearned;
  WorkerUse mUse;
};

ColocatedLoad RandomBeside()
{
  ColocatedLoad beside;
  LearnedInterference learned;
  for (const std::string serving : { "s0", "s1" }) {
    beside.mUse.mServing[JobId("job-" + serving)] = { serving, 1 };
    for (const std::string leftover : { "l0", "l1", "l2" }) {
      learned.mPairs.push_back(
        { serving, leftover, *rc::gen::inRange(0, 200) / 1000.0 });
    }
  }
  beside.mLearned.Adopt(learned);
  for (const std::string leftover : { "l0", "l1" }) {
    beside.mUse.mBestEffortByImage[leftover] = *rc::gen::inRange(0, 40'000);
  }
  return beside;
}

/// The same worked out from the definitions, one serving job at a time.
double WorstByDefinition(const ColocatedLoad& aColocated,
                         const std::string& aImage,
                         std::int64_t aMillicores)
{
  double worst = 0;
  for (const auto& [job, serving] : aColocated.mUse.mServing) {
    const std::string& image = serving.mImage;
    double over =
      -aColocated.mLearned.Budget(job, image, kShare, kNow) +
      aColocated.mLearned.PerCore(image, aImage) * aMillicores / 1000.0;
    for (const auto& [leftover, millicores] :
         aColocated.mUse.mBestEffortByImage) {
      over +=
        aColocated.mLearned.PerCore(image, leftover) * millicores / 1000.0;
    }
    worst = std::max(worst, over);
  }
  return worst;
}

RC_GTEST_PROP(WorkerInterference, IsTheWorstOverAllServingJobs, ())
{
  const ColocatedLoad beside = RandomBeside();
  WorkerInterference pressure;
  pressure.Refresh(beside.mUse, beside.mLearned, kShare, kNow);
  InterferenceWeightCache weights(beside.mLearned, "l2");
  const std::int64_t more = *rc::gen::inRange(0, 20'000);
  const double expected = WorstByDefinition(beside, "l2", more);
  RC_ASSERT(std::abs(pressure.WorstExcess(weights, more) - expected) < 1e-9);
}

/// Within a round tasks are placed one after the other: the second must find
/// the first.
TEST(WorkerInterferenceTest, IsComputedAnewOnceTheTasksChanged)
{
  InterferenceEstimator learned;
  WorkerUse use;
  use.mServing[JobId("job")] = { "s", 1 };
  WorkerInterference pressure;
  EXPECT_FALSE(pressure.IsKnown());
  pressure.Refresh(use, learned, kShare, kNow);
  use.mBestEffortByImage["l"] = 64'000;
  InterferenceWeightCache weights(learned, "l");
  const double before = pressure.WorstExcess(weights, 1000);
  pressure.Refresh(use, learned, kShare, kNow + milliseconds(1));
  EXPECT_EQ(pressure.WorstExcess(weights, 1000), before);
  pressure.Forget();
  EXPECT_FALSE(pressure.IsKnown());
  pressure.Refresh(use, learned, kShare, kNow + milliseconds(1));
  EXPECT_GT(pressure.WorstExcess(weights, 1000), before);
}

TEST(WorkerInterferenceTest, IsComputedAnewOnceItIsOld)
{
  InterferenceEstimator learned;
  WorkerUse use;
  use.mServing[JobId("job")] = { "s", 1 };
  WorkerInterference pressure;
  pressure.Refresh(use, learned, kShare, kNow);
  use.mBestEffortByImage["l"] = 64'000;
  InterferenceWeightCache weights(learned, "l");
  const double before = pressure.WorstExcess(weights, 1000);
  pressure.Refresh(use, learned, kShare, kNow + WorkerInterference::kMaxAge);
  EXPECT_GT(pressure.WorstExcess(weights, 1000), before);
}

} // namespace

} // namespace foxtailbarrow::cell::test
