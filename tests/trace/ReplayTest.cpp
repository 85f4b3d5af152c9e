#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "apps/replay/JobTracker.h"
#include "apps/replay/ReplaySettings.h"
#include "apps/replay/StandInAudit.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::replay {
namespace {

TraceJob Line(const char* aId, JobState aEnd)
{
  TraceJob line;
  line.mId = JobId(aId);
  line.mEndState = aEnd;
  return line;
}

TEST(JobTracker, CountsJobsInTheirExpectedEndState)
{
  JobTracker tracker;
  tracker.OnAccepted(Line("a", JobState::Finished), "c.1");
  tracker.OnAccepted(Line("b", JobState::Parked), "c.2");
  tracker.OnAccepted(Line("c", JobState::Finished), "c.3");
  tracker.OnAccepted(Line("d", JobState::Finished), "c.4");
  tracker.OnRefused(Line("e", JobState::Finished));
  tracker.OnState(JobId("a"), JobState::Finished, "", 2);
  tracker.OnState(JobId("b"), JobState::Parked, "", 0);
  tracker.OnState(JobId("c"), JobState::Failed, "", 1);
  tracker.OnUnknown(JobId("d"));
  ReplayTotals totals;
  tracker.AddTo(totals);
  EXPECT_EQ(totals.mJobs, 4);
  EXPECT_EQ(totals.mJobsRefused, 1);
  EXPECT_EQ(totals.mJobsAsExpected, 2);
  EXPECT_EQ(totals.mLostJobs, 1);
  EXPECT_EQ(totals.mEvictions, 3);
  EXPECT_EQ(tracker.Open().size(), 2U);
}

TEST(StandInAudit, ReadsRunsFromAWorkersEvents)
{
  const auto events = ParseJson(
    R"([{"kind":"started","job":"j","epoch":1,"atUs":10,"doneUs":0},)"
    R"({"kind":"started","job":"k","epoch":1,"atUs":11,"doneUs":0},)"
    R"({"kind":"checkpointed","job":"j","epoch":1,"atUs":20,"doneUs":9},)"
    R"({"kind":"started","job":"j","epoch":2,"atUs":30,"doneUs":9}])");
  const auto runs = RunsOf(*events);
  ASSERT_TRUE(runs.ok());
  ASSERT_EQ(runs->size(), 3U);
  EXPECT_EQ(runs->front().mJob, "j");
  EXPECT_EQ(runs->front().mUntil, Instant(Duration(20)));
  EXPECT_EQ(runs->back().mUntil, Instant::max());
  EXPECT_TRUE(FindOverlappingJobs(*runs).empty());
  EXPECT_FALSE(RunsOf(Json::Value("text")).ok());
}

struct BadCommandLine
{
  std::vector<std::string> mArguments;
  std::vector<std::string> mExpectedTexts; ///< In the error message.

  friend void PrintTo(const BadCommandLine& aCase, std::ostream* aOut)
  {
    *aOut << testing::PrintToString(aCase.mArguments);
  }
};

class ReplayLineRefused : public testing::TestWithParam<BadCommandLine>
{};

TEST_P(ReplayLineRefused, EndsWithTwoAndNamesWhatIsAllowed)
{
  std::ostringstream out;
  std::ostringstream err;
  const auto result = ParseReplaySettings(GetParam().mArguments, out, err);
  ASSERT_TRUE(std::holds_alternative<int>(result));
  EXPECT_EQ(std::get<int>(result), 2);
  for (const std::string& text : GetParam().mExpectedTexts) {
    EXPECT_THAT(err.str(), testing::HasSubstr(text));
  }
}

const BadCommandLine kBadCommandLines[] = {
  { {}, { "subcommand: missing", "run, generate" } },
  { { "run" }, { "TRACE: missing" } },
  { { "run", "a.jsonl" }, { "--entries", "missing", "IPv4" } },
  { { "run", "a.jsonl", "--entries", "here" }, { "--entries", "'here'" } },
  { { "run", "a.jsonl", "--entries", "127.0.0.1:1", "--threads", "0" },
    { "--threads", "'0'", "1..64" } },
  { { "generate", "--out", "a" }, { "--deployment", "missing", "qoima" } },
  { { "generate", "--out", "a", "--deployment", "mars" },
    { "--deployment", "'mars'", "trasowka, qoima" } },
  { { "generate", "--out", "a", "--deployment", "qoima", "--seed", "-1" },
    { "--seed", "'-1'", "0.." } },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         ReplayLineRefused,
                         testing::ValuesIn(kBadCommandLines));

} // namespace
} // namespace foxtailbarrow::replay
