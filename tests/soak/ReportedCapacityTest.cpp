#include <gtest/gtest.h>

#include "soak/ReportedCapacity.h"

namespace foxtailbarrow::soak::test {

namespace {

using std::chrono::milliseconds;

const Instant kBegin{ std::chrono::seconds(100) };
const Resources kLarge{ 4000, 4000, 0 };
const Resources kSmall{ 1000, 1000, 0 };
const Resources kUsed{ 3000, 1000, 0 };

/// The worker reports a smaller capacity 1 s after the beginning.
struct CapacityCase
{
  const char* mName;
  bool mAnswered;
  Duration mAfter; ///< From the answer to the start.
  bool mAllowed;
};

class ReportedCapacityTest : public testing::TestWithParam<CapacityCase>
{};

TEST_P(ReportedCapacityTest, AllowsWhatTheAgentMayHaveAssumed)
{
  ReportedCapacity reported(kLarge);
  const Instant at = kBegin + std::chrono::seconds(1);
  reported.OnSent(1, kSmall);
  if (GetParam().mAnswered) {
    reported.OnAnswered(1, at);
  }
  EXPECT_EQ(reported.Allows(kUsed, at + GetParam().mAfter),
            GetParam().mAllowed);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ReportedCapacityTest,
  testing::Values(
    CapacityCase{ "Unanswered", false, std::chrono::seconds(9), true },
    CapacityCase{ "StartUnderWay",
                  true,
                  ReportedCapacity::kMaxStartDelay,
                  true },
    CapacityCase{ "Late",
                  true,
                  ReportedCapacity::kMaxStartDelay + milliseconds(1),
                  false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(ReportedCapacity, AGrowthMayBeKnownBeforeItsAnswer)
{
  ReportedCapacity reported(kSmall);
  EXPECT_FALSE(reported.Allows(kUsed, kBegin));
  reported.OnSent(1, kLarge);
  EXPECT_TRUE(reported.Allows(kUsed, kBegin));
}

} // namespace

} // namespace foxtailbarrow::soak::test
