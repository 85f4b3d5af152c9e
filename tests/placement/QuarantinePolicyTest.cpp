#include "src/core/placement/QuarantinePolicy.h"

#include <gtest/gtest.h>

#include <string>

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWorkers = 11;

struct FailureCase
{
  std::string_view mName;
  int mPrograms;
  bool mBadWorker; ///< Worker 0 fails everything.
  bool mBadJobs;   ///< Program 0 fails everywhere.
  bool mQuarantined;
};

class QuarantinePolicyTest : public testing::TestWithParam<FailureCase>
{};

TEST_P(QuarantinePolicyTest, DistinguishesFaultyWorkersFromFaultyJobs)
{
  QuarantinePolicy policy;
  bool quarantined = false;
  const Instant now{ 1000s };
  for (int i = 0; i < 110; ++i) {
    const auto worker = static_cast<WorkerSlot>(i) % kWorkers;
    const int program = (i / 11) % GetParam().mPrograms;
    const ProgramKey key{ CustomerId("c"), std::to_string(program) };
    const bool fails = (GetParam().mBadWorker && worker == 0) ||
                       (GetParam().mBadJobs && program == 0);
    if (!fails) {
      policy.OnSuccess(worker, key, now);
    } else if (policy.OnFailure(
                 worker, JobId(std::to_string(i)), key, kWorkers, now)) {
      EXPECT_EQ(worker, 0U);
      quarantined = true;
    }
  }
  EXPECT_EQ(quarantined, GetParam().mQuarantined);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  QuarantinePolicyTest,
  testing::Values(FailureCase{ "NoFailures", 3, false, false, false },
                  FailureCase{ "BadWorker", 3, true, false, true },
                  FailureCase{ "BadWorkerOneProgram", 1, true, false, true },
                  FailureCase{ "BadProgram", 3, false, true, false },
                  FailureCase{ "OnlyProgramBad", 1, false, true, false },
                  FailureCase{ "Both", 3, true, true, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(QuarantinePolicy, LimitsQuarantineAndEndsIt)
{
  QuarantinePolicy policy;
  const Instant now{ 1000s };
  const ProgramKey key{ CustomerId("c"), "p" };
  const ProgramKey reliable{ CustomerId("c"), "never fails elsewhere" };
  for (int i = 0; i < 1000; ++i) {
    policy.OnSuccess(static_cast<WorkerSlot>(i) % 50 + 50, key, now);
    policy.OnSuccess(static_cast<WorkerSlot>(i) % 50 + 50, reliable, now);
  }
  for (int i = 0; i < 500; ++i) {
    const auto worker = static_cast<WorkerSlot>(i) % 50;
    policy.OnFailure(worker, JobId(std::to_string(i)), key, 100, now);
  }
  EXPECT_EQ(policy.QuarantinedCount(), 20U);
  EXPECT_TRUE(policy.EndQuarantines(now + 1min).empty());
  EXPECT_EQ(policy.EndQuarantines(now + 2min).size(), 20U);
  EXPECT_EQ(policy.QuarantinedCount(), 0U);
  // On probation, one failure suffices.
  EXPECT_TRUE(policy.OnFailure(0, JobId("again"), reliable, 100, now + 2min));
}

} // namespace
} // namespace foxtailbarrow
