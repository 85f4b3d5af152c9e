#include <gtest/gtest.h>

#include "src/core/cell/OwnerLoad.h"
#include "src/core/cell/RoundPacing.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kBegin{ seconds(100) };

TEST(OwnerLoadTest, SummarizesEachSecond)
{
  OwnerLoad load;
  EXPECT_FALSE(load.TakeSummary(kBegin, seconds(5)).has_value());
  load.RecordReport();
  load.RecordWork(OwnerWork::Text, milliseconds(100));
  load.RecordWork(OwnerWork::Reports, milliseconds(20));
  load.RecordWork(OwnerWork::Logs, milliseconds(10));
  load.RecordRound(milliseconds(30));
  load.RecordRound(milliseconds(50));
  load.RecordWait(OwnerWait::Order, milliseconds(70));
  load.RecordWait(OwnerWait::Order, milliseconds(40));
  EXPECT_FALSE(
    load.TakeSummary(kBegin + milliseconds(999), seconds(5)).has_value());
  const auto summary =
    load.TakeSummary(kBegin + seconds(1), seconds(5) + milliseconds(300));
  ASSERT_TRUE(summary.has_value());
  EXPECT_EQ(summary->mReports, 1);
  EXPECT_EQ(summary->mRounds, 2);
  EXPECT_EQ(summary->mLongestRound, milliseconds(50));
  EXPECT_EQ(SharesText(*summary),
            "text=100 reports=20 rounds=80 records=0 logs=10 rest=100 all=300");
  EXPECT_EQ(WaitsText(*summary), "loop=0 report=0 order=70 record=0");
  const auto next = load.TakeSummary(kBegin + seconds(2), seconds(6));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->mReports, 0);
}

struct PacingCase
{
  const char* mName;
  Duration mRound;
  Duration mMin;
  Duration mMax;
};

class RoundPacingTest : public testing::TestWithParam<PacingCase>
{};

/// A round of 3 ms after each of 500 reports per second would take more than
/// the available time.
TEST_P(RoundPacingTest, GivesRoundsABoundedShareOfTheTime)
{
  RoundPacing pacing;
  pacing.RecordRound(GetParam().mRound);
  EXPECT_GE(pacing.Pause(), GetParam().mMin);
  EXPECT_LE(pacing.Pause(), GetParam().mMax);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  RoundPacingTest,
  testing::Values(
    PacingCase{ "Short", Duration(100), milliseconds(2), milliseconds(2) },
    PacingCase{ "Long", milliseconds(3), milliseconds(16), milliseconds(18) },
    PacingCase{ "TooLong", seconds(1), milliseconds(100), milliseconds(100) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
