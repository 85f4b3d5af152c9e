#include <algorithm>

#include <gtest/gtest.h>

#include "tests/load/PressedWorker.h"

namespace foxtailbarrow::cell::test {

namespace {

/// The longest time that a serving task may be over its target by what runs
/// beside it.
constexpr double kLongestOver = 4.0;
constexpr int kReplays = 1000;

class ServingTargetTest : public testing::TestWithParam<PressedWorkerPattern>
{};

TEST_P(ServingTargetTest, NoTaskStaysOverItsTargetByWhatRunsBesideIt)
{
  double longest = 0;
  double over = 0;
  double work = 0;
  int reached = 0;
  for (int seed = 1; seed <= kReplays; ++seed) {
    const PressedWorkerOutcome outcome =
      PressedWorker(GetParam(), static_cast<std::uint32_t>(seed)).Play();
    longest = std::max(longest, outcome.mLongestOver);
    over += outcome.mOver / kReplays;
    work += outcome.mWork / kReplays;
    reached += outcome.mLongestOver >= kLongestOver ? 1 : 0;
  }
  RecordProperty("longestOver", std::to_string(longest));
  RecordProperty("over", std::to_string(over));
  RecordProperty("work", std::to_string(work));
  EXPECT_EQ(reached, 0) << "longest " << longest << " s";
}

INSTANTIATE_TEST_SUITE_P(
  Agents,
  ServingTargetTest,
  testing::Values(
    PressedWorkerPattern{ .mName = "InTime", .mLookEvery = 0.1 },
    PressedWorkerPattern{ .mName = "SlowLooks" },
    PressedWorkerPattern{ .mName = "RoughFigures", .mNoise = 0.2 },
    PressedWorkerPattern{ .mName = "ShortTasks", .mTaskLength = 0.7 },
    PressedWorkerPattern{ .mName = "LateLooks",
                          .mLateLooks = 0.3,
                          .mTaskLength = 2 },
    PressedWorkerPattern{ .mName = "LatePaces", .mLatePaces = 0.1 },
    PressedWorkerPattern{ .mName = "RoughAndLate",
                          .mNoise = 0.2,
                          .mLateLooks = 0.3,
                          .mTaskLength = 0.7,
                          .mLatePaces = 0.1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
