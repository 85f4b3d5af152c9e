#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/cell/WorkerPressure.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShare = 0.75;
const Instant kNow{ seconds(100) };

/// Two serving jobs of different images and up to three leftover images, with
/// weights of their own.
struct Beside
{
  Interference mLearned;
  WorkerUse mUse;
};

Beside RandomBeside()
{
  Beside beside;
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
    beside.mUse.mLeftoverOf[leftover] = *rc::gen::inRange(0, 40'000);
  }
  return beside;
}

/// The same worked out from the definitions, one serving job at a time.
double WorstByDefinition(const Beside& aBeside,
                         const std::string& aImage,
                         std::int64_t aMillicores)
{
  double worst = 0;
  for (const auto& [job, serving] : aBeside.mUse.mServing) {
    const std::string& image = serving.mImage;
    double over =
      -aBeside.mLearned.Budget(job, image, kShare, kNow) +
      aBeside.mLearned.PerCore(image, aImage) * aMillicores / 1000.0;
    for (const auto& [leftover, millicores] : aBeside.mUse.mLeftoverOf) {
      over += aBeside.mLearned.PerCore(image, leftover) * millicores / 1000.0;
    }
    worst = std::max(worst, over);
  }
  return worst;
}

RC_GTEST_PROP(WorkerPressure, IsTheWorstOverAllServingJobs, ())
{
  const Beside beside = RandomBeside();
  WorkerPressure pressure;
  pressure.Refresh(beside.mUse, beside.mLearned, kShare, kNow);
  PressureWeights weights(beside.mLearned, "l2");
  const std::int64_t more = *rc::gen::inRange(0, 20'000);
  const double expected = WorstByDefinition(beside, "l2", more);
  RC_ASSERT(std::abs(pressure.WorstOver(weights, more) - expected) < 1e-9);
}

/// Within a round tasks are placed one after the other: the second must find
/// the first.
TEST(WorkerPressureTest, IsComputedAnewOnceTheTasksChanged)
{
  Interference learned;
  WorkerUse use;
  use.mServing[JobId("job")] = { "s", 1 };
  WorkerPressure pressure;
  EXPECT_FALSE(pressure.IsKnown());
  pressure.Refresh(use, learned, kShare, kNow);
  use.mLeftoverOf["l"] = 64'000;
  PressureWeights weights(learned, "l");
  const double before = pressure.WorstOver(weights, 1000);
  pressure.Refresh(use, learned, kShare, kNow + milliseconds(1));
  EXPECT_EQ(pressure.WorstOver(weights, 1000), before);
  pressure.Forget();
  EXPECT_FALSE(pressure.IsKnown());
  pressure.Refresh(use, learned, kShare, kNow + milliseconds(1));
  EXPECT_GT(pressure.WorstOver(weights, 1000), before);
}

TEST(WorkerPressureTest, IsComputedAnewOnceItIsOld)
{
  Interference learned;
  WorkerUse use;
  use.mServing[JobId("job")] = { "s", 1 };
  WorkerPressure pressure;
  pressure.Refresh(use, learned, kShare, kNow);
  use.mLeftoverOf["l"] = 64'000;
  PressureWeights weights(learned, "l");
  const double before = pressure.WorstOver(weights, 1000);
  pressure.Refresh(use, learned, kShare, kNow + WorkerPressure::kKeptFor);
  EXPECT_GT(pressure.WorstOver(weights, 1000), before);
}

} // namespace

} // namespace foxtailbarrow::cell::test
