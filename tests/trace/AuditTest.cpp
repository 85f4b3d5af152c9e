#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/core/trace/RequestAudit.h"
#include "src/core/trace/TaskAudit.h"

namespace foxtailbarrow {
namespace {

struct RequestCase
{
  std::string mName;
  bool mIdempotent = false;
  std::vector<Attempt> mAttempts;
  ExecutionCounts mExecutions;
  std::int64_t mRanDespiteNotRun = 0;
  std::int64_t mLost = 0;
  std::int64_t mRepeated = 0;

  friend void PrintTo(const RequestCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

class RequestAudited : public testing::TestWithParam<RequestCase>
{};

TEST_P(RequestAudited, ComparesOutcomesWithExecutions)
{
  const RequestCase& row = GetParam();
  const RequestAudit audit =
    AuditRequests({ { row.mIdempotent, row.mAttempts } }, row.mExecutions);
  EXPECT_EQ(audit.mRanDespiteNotRun, row.mRanDespiteNotRun);
  EXPECT_EQ(audit.mLost, row.mLost);
  EXPECT_EQ(audit.mRepeated, row.mRepeated);
}

constexpr AttemptEnd kAnswered = AttemptEnd::Answered;
constexpr AttemptEnd kNotRun = AttemptEnd::NotRun;
constexpr AttemptEnd kMayHaveRun = AttemptEnd::MayHaveRun;

const RequestCase kRequestCases[] = {
  { "answered once", false, { { "a", kAnswered } }, { { "a", 1 } } },
  { "not run", false, { { "a", kNotRun } }, {} },
  { "verdict not run, but ran",
    false,
    { { "a", kNotRun } },
    { { "a", 1 } },
    1 },
  { "answered, but never ran", false, { { "a", kAnswered } }, {}, 0, 1 },
  { "ran on two servers",
    false,
    { { "a", kAnswered } },
    { { "a", 2 } },
    0,
    0,
    1 },
  { "idempotent on two servers", true, { { "a", kAnswered } }, { { "a", 2 } } },
  { "may have run, and did", false, { { "a", kMayHaveRun } }, { { "a", 1 } } },
  { "retried after not run",
    false,
    { { "a", kNotRun }, { "b", kAnswered } },
    { { "b", 1 } } },
  { "ran in both attempts",
    false,
    { { "a", kMayHaveRun }, { "b", kAnswered } },
    { { "a", 1 }, { "b", 1 } },
    0,
    0,
    1 },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         RequestAudited,
                         testing::ValuesIn(kRequestCases));

struct RunCase
{
  std::string mName;
  std::vector<TaskRun> mRuns;
  std::vector<std::string> mOverlapping;

  friend void PrintTo(const RunCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

Instant At(int aMicroseconds)
{
  return Instant(Duration(aMicroseconds));
}

class TasksAudited : public testing::TestWithParam<RunCase>
{};

TEST_P(TasksAudited, FindsOverlappingRunsOfAJob)
{
  EXPECT_EQ(FindOverlappingJobs(GetParam().mRuns), GetParam().mOverlapping);
}

const RunCase kRunCases[] = {
  { "nothing", {}, {} },
  { "consecutive", { { "j", At(5), At(9) }, { "j", At(1), At(5) } }, {} },
  { "overlapping", { { "j", At(1), At(6) }, { "j", At(5), At(9) } }, { "j" } },
  { "runs of two jobs", { { "j", At(1), At(6) }, { "k", At(1), At(6) } }, {} },
  { "still running",
    { { "j", At(1), Instant::max() }, { "j", At(70), At(80) } },
    { "j" } },
  { "third run overlaps the first only",
    { { "j", At(1), At(50) }, { "j", At(2), At(3) }, { "j", At(40), At(60) } },
    { "j" } },
};

INSTANTIATE_TEST_SUITE_P(Table, TasksAudited, testing::ValuesIn(kRunCases));

} // namespace
} // namespace foxtailbarrow
