#include <algorithm>

#include <gtest/gtest.h>

#include "tests/load/ColocatedWorker.h"

namespace foxtailbarrow::cell::test {

namespace {

/// Longest time that a serving task may be over its target because of colocated
/// tasks, in seconds.
constexpr double kLongestOver = 4.0;
constexpr int kReplays = 1000;

class ServingTargetTest : public testing::TestWithParam<ColocatedWorkerPattern>
{};

TEST_P(ServingTargetTest, NoTaskStaysOverItsTargetBecauseOfColocatedTasks)
{
  double longest = 0;
  double over = 0;
  double work = 0;
  int reached = 0;
  for (int seed = 1; seed <= kReplays; ++seed) {
    const ColocatedWorkerOutcome outcome =
      ColocatedWorker(GetParam(), static_cast<std::uint32_t>(seed)).Play();
    longest = std::max(longest, outcome.mLongestOverTarget);
    over += outcome.mOver / kReplays;
    work += outcome.mWork / kReplays;
    reached += outcome.mLongestOverTarget >= kLongestOver ? 1 : 0;
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
    ColocatedWorkerPattern{ .mName = "InTime", .mPollInterval = 0.1 },
    ColocatedWorkerPattern{ .mName = "SlowLooks" },
    ColocatedWorkerPattern{ .mName = "RoughFigures", .mNoise = 0.2 },
    ColocatedWorkerPattern{ .mName = "ShortTasks", .mTaskLength = 0.7 },
    ColocatedWorkerPattern{ .mName = "LateLooks",
                            .mLatePolls = 0.3,
                            .mTaskLength = 2 },
    ColocatedWorkerPattern{ .mName = "LatePaces", .mLateThrottles = 0.1 },
    ColocatedWorkerPattern{ .mName = "RoughAndLate",
                            .mNoise = 0.2,
                            .mLatePolls = 0.3,
                            .mTaskLength = 0.7,
                            .mLateThrottles = 0.1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
