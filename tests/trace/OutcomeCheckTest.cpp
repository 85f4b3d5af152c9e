#include "src/core/trace/OutcomeCheck.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

const ExpectedOutcomes kExpected{ 100.0, 0.99, 0.01, 0.95, 3, 1'000 };

ReplayTotals GoodTotals()
{
  ReplayTotals totals;
  totals.mRequests = 1'000;
  totals.mAnswered = 990;
  totals.mNotRun = 10;
  totals.mP99 = std::chrono::milliseconds(100);
  totals.mJobs = 100;
  totals.mJobsAsExpected = 95;
  totals.mEvictions = 3;
  totals.mAudited = true;
  return totals;
}

TEST(Outcomes, AreMetAtTheirBounds)
{
  EXPECT_TRUE(AllMet(CheckOutcomes(kExpected, GoodTotals())));
  EXPECT_TRUE(AllMet(CheckOutcomes(kExpected, ReplayTotals{})));
}

TEST(Outcomes, MarkWhatWasNotAudited)
{
  ReplayTotals totals = GoodTotals();
  totals.mAudited = false;
  for (const OutcomeRow& row : CheckOutcomes(kExpected, totals)) {
    const bool requiresAudit =
      row.mName == "lost requests" || row.mName == "doubled requests" ||
      row.mName == "doubled jobs" || row.mName == "told wrongly" ||
      row.mName == "workers over-committed";
    EXPECT_EQ(row.mMeasured == "not checked", requiresAudit) << row.mName;
  }
}

TEST(Outcomes, ListRefusalsByReason)
{
  ReplayTotals totals = GoodTotals();
  totals.mRefusals["rate-limit"] = 12;
  const std::string text = FormatOutcomes(CheckOutcomes(kExpected, totals));
  EXPECT_THAT(text, testing::HasSubstr("attempts refused: rate-limit"));
  EXPECT_THAT(text, testing::Not(testing::HasSubstr(" \n")));
}

struct MissedCase
{
  std::string mRow;
  void (*mWorsen)(ReplayTotals&);

  friend void PrintTo(const MissedCase& aMiss, std::ostream* aOut)
  {
    *aOut << aMiss.mRow;
  }
};

class OutcomeMissed : public testing::TestWithParam<MissedCase>
{};

TEST_P(OutcomeMissed, FailsAndIsNamed)
{
  ReplayTotals totals = GoodTotals();
  GetParam().mWorsen(totals);
  const std::vector<OutcomeRow> rows = CheckOutcomes(kExpected, totals);
  EXPECT_FALSE(AllMet(rows));
  for (const OutcomeRow& row : rows) {
    EXPECT_EQ(row.mMet, row.mName != GetParam().mRow) << row.mName;
  }
  EXPECT_THAT(FormatOutcomes(rows), testing::HasSubstr("MISSED"));
}

const MissedCase kMisses[] = {
  { "latency p99 (ms)",
    [](ReplayTotals& aTotals) { aTotals.mP99 += Duration(1); } },
  { "requests answered", [](ReplayTotals& aTotals) { --aTotals.mAnswered; } },
  { "requests told not run", [](ReplayTotals& aTotals) { ++aTotals.mNotRun; } },
  { "requests unanswered",
    [](ReplayTotals& aTotals) { ++aTotals.mUnanswered; } },
  { "wrong answers", [](ReplayTotals& aTotals) { ++aTotals.mWrongAnswers; } },
  { "told wrongly",
    [](ReplayTotals& aTotals) { ++aTotals.mRanDespiteNotRun; } },
  { "lost requests", [](ReplayTotals& aTotals) { ++aTotals.mLostRequests; } },
  { "lost jobs", [](ReplayTotals& aTotals) { ++aTotals.mLostJobs; } },
  { "doubled requests",
    [](ReplayTotals& aTotals) { ++aTotals.mRepeatedRequests; } },
  { "doubled jobs", [](ReplayTotals& aTotals) { ++aTotals.mOverlappingJobs; } },
  { "jobs ended as stated",
    [](ReplayTotals& aTotals) { --aTotals.mJobsAsExpected; } },
  { "jobs ended as stated",
    [](ReplayTotals& aTotals) { ++aTotals.mJobsRefused; } },
  { "evictions", [](ReplayTotals& aTotals) { ++aTotals.mEvictions; } },
  { "workers over-committed",
    [](ReplayTotals& aTotals) { ++aTotals.mOvercommitted; } },
};

INSTANTIATE_TEST_SUITE_P(Table, OutcomeMissed, testing::ValuesIn(kMisses));

} // namespace
} // namespace foxtailbarrow
