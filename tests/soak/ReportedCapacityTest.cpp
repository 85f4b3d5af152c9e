#include <gtest/gtest.h>

#include "soak/ReportedCapacity.h"

namespace foxtailbarrow::soak::test {

namespace {

using std::chrono::milliseconds;

const Instant kBegin{ std::chrono::seconds(100) };
const Resources kLarge{ 4000, 4000, 0 };
const Resources kSmall{ 1000, 1000, 0 };
const Resources kUsed{ 3000, 1000, 0 };

/// A worker that shrank told it 1 s after the beginning.
struct ToldCase
{
  const char* mName;
  bool mAnswered;
  Duration mAfter; ///< From the answer to the start.
  bool mAllowed;
};

class ReportedCapacityTest : public testing::TestWithParam<ToldCase>
{};

TEST_P(ReportedCapacityTest, AllowsWhatTheAgentMayHaveBelieved)
{
  ReportedCapacity told(kLarge);
  const Instant at = kBegin + std::chrono::seconds(1);
  told.Sent(1, kSmall);
  if (GetParam().mAnswered) {
    told.Answered(1, at);
  }
  EXPECT_EQ(told.Allows(kUsed, at + GetParam().mAfter), GetParam().mAllowed);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ReportedCapacityTest,
  testing::Values(
    ToldCase{ "Unanswered", false, std::chrono::seconds(9), true },
    ToldCase{ "OnItsWay", true, ReportedCapacity::kMaxStartDelay, true },
    ToldCase{ "Late",
              true,
              ReportedCapacity::kMaxStartDelay + milliseconds(1),
              false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(ReportedCapacity, AGrowthMayBeKnownBeforeItsAnswer)
{
  ReportedCapacity told(kSmall);
  EXPECT_FALSE(told.Allows(kUsed, kBegin));
  told.Sent(1, kLarge);
  EXPECT_TRUE(told.Allows(kUsed, kBegin));
}

} // namespace

} // namespace foxtailbarrow::soak::test
