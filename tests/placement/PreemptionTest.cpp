#include "src/core/placement/Preemption.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;
using Names = std::vector<std::string>;

EvictionCandidate Running(std::string aName,
                          std::int64_t aCores,
                          Duration aRunTime,
                          double aWeight = 1.0)
{
  return {
    { JobId(std::move(aName)), 1 }, { aCores * 1000, 100, 0 }, aRunTime, aWeight
  };
}

struct EvictionCase
{
  std::string_view mName;
  std::int64_t mNeedCores;
  std::int64_t mFreeCores;
  std::vector<EvictionCandidate> mRunning;
  std::optional<Names> mVictims;
};

class PlanEvictionTest : public testing::TestWithParam<EvictionCase>
{};

TEST_P(PlanEvictionTest, ChoosesTheLeastWork)
{
  const EvictionCase& given = GetParam();
  const auto plan = PlanEviction({ given.mNeedCores * 1000, 100, 0 },
                                 { given.mFreeCores * 1000, 1000, 0 },
                                 given.mRunning);
  ASSERT_EQ(plan.has_value(), given.mVictims.has_value());
  if (plan) {
    Names victims;
    for (const TaskKey& key : plan->mVictims) {
      victims.push_back(key.mJob.Value());
    }
    EXPECT_EQ(victims, *given.mVictims);
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  PlanEvictionTest,
  testing::Values(
    EvictionCase{ "FitsAsItIs", 2, 2, { Running("a", 4, 1s) }, Names{} },
    EvictionCase{ "NotEnoughInTotal", 9, 2, { Running("a", 4, 1s) }, {} },
    EvictionCase{ "Youngest",
                  4,
                  0,
                  { Running("old", 4, 1h), Running("young", 4, 1min) },
                  Names{ "young" } },
    EvictionCase{ "LightestContract",
                  4,
                  0,
                  { Running("dear", 4, 1min, 100.0), Running("cheap", 4, 1h) },
                  Names{ "cheap" } },
    EvictionCase{ "NoNeedlessVictim",
                  8,
                  0,
                  { Running("small", 1, 1s), Running("large", 8, 1min) },
                  Names{ "large" } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace
} // namespace foxtailbarrow
