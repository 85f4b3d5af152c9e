#include "src/core/trace/Trace.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/core/trace/TraceGenerator.h"

namespace foxtailbarrow {
namespace {

using testing::HasSubstr;

const std::string kHeader =
  R"({"header":{"format":1,"deployment":"d","seed":0,"durationMs":1000,)"
  R"("outcomes":{"maxP99Ms":5,"minAnswered":1,"maxNotRunShare":0,"minJobsAsStated":1,)"
  R"("maxEvictions":0,"jobsDeadlineMs":10}}})"
  "\n";
const std::string kRequest =
  R"({"request":{"atMs":5,"customer":"c","method":"GET","path":"/a",)"
  R"("bodyBytes":0,"idempotent":true,"deadlineMs":100,"serviceUs":9}})"
  "\n";
const std::string kJob =
  R"({"job":{"atMs":6,"id":"j","customer":"c","kind":"batch",)"
  R"("priority":"normal","declared":{"millicores":1},"declaredRunMs":1,)"
  R"("runMs":1,"program":"sleep","endState":"finished"}})"
  "\n";

/// `aText` with the first `aOld` replaced by `aNew`.
std::string With(std::string aText,
                 const std::string& aOld,
                 const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

struct BadTrace
{
  std::string mName;
  std::string mText;
  std::vector<std::string> mExpectedTexts; ///< In the error message.

  friend void PrintTo(const BadTrace& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

class TraceRefused : public testing::TestWithParam<BadTrace>
{};

TEST_P(TraceRefused, NamesLineFieldAndWhatIsAllowed)
{
  const absl::StatusOr<Trace> trace = ParseTrace(GetParam().mText);
  ASSERT_FALSE(trace.ok());
  for (const std::string& text : GetParam().mExpectedTexts) {
    EXPECT_THAT(std::string(trace.status().message()), HasSubstr(text));
  }
}

const BadTrace kBadTraces[] = {
  { "empty", "", { "line 1", "header" } },
  { "no header", kRequest, { "line 1", "no header" } },
  { "two headers", kHeader + kHeader, { "line 2", "second header" } },
  { "empty line", kHeader + "\n" + kRequest, { "line 2" } },
  { "truncated", kHeader + kRequest.substr(0, 40), { "line 2" } },
  { "no JSON", kHeader + kRequest + "hello\n", { "line 3" } },
  { "two members",
    kHeader + With(kRequest,
                   "{\"request\"",
                   "{\"cancel\":{\"atMs\":1,"
                   "\"job\":\"j\"},\"request\""),
    { "line 2", "exactly one of" } },
  { "no member", kHeader + "{}\n", { "line 2", "exactly one of" } },
  { "unknown kind", kHeader + "{\"noise\":{}}\n", { "line 2", "noise" } },
  { "unknown field",
    kHeader + With(kRequest, "\"atMs\"", "\"colour\":1,\"atMs\""),
    { "line 2", "request.colour" } },
  { "missing field",
    kHeader + With(kRequest, "\"bodyBytes\":0,", ""),
    { "line 2", "request.bodyBytes", "required" } },
  { "negative number",
    kHeader + With(kRequest, "\"bodyBytes\":0", "\"bodyBytes\":-1"),
    { "line 2", "request.bodyBytes", "-1" } },
  { "number as text",
    kHeader + With(kRequest, "\"atMs\":5", "\"atMs\":\"5\""),
    { "line 2", "request.atMs", "5" } },
  { "oversize body",
    kHeader + With(kRequest, "\"bodyBytes\":0", "\"bodyBytes\":99999999"),
    { "line 2", "request.bodyBytes", "99999999" } },
  { "bad method",
    kHeader + With(kRequest, "GET", "FETCH"),
    { "line 2", "request.method", "FETCH" } },
  { "relative path",
    kHeader + With(kRequest, "/a", "a"),
    { "line 2", "request.path" } },
  { "reserved path",
    kHeader + With(kRequest, "/a", "/foxtailbarrow/v1/jobs"),
    { "line 2", "request.path" } },
  { "decreasing time",
    kHeader + kJob + kRequest,
    { "line 3", "atMs", "found 5", "6..1000" } },
  { "time after the end",
    kHeader + With(kRequest, "\"atMs\":5", "\"atMs\":1001"),
    { "line 2", "found 1001", "0..1000" } },
  { "unknown job kind",
    kHeader + With(kJob, "batch", "bulk"),
    { "line 2", "job.kind", "bulk", "standing" } },
  { "endless batch job",
    kHeader + With(kJob, "\"runMs\":1", "\"runMs\":0"),
    { "line 2", "job.runMs" } },
  { "end state not final",
    kHeader + With(kJob, "finished", "queued"),
    { "line 2", "job.endState", "queued", "parked" } },
  { "same job twice", kHeader + kJob + kJob, { "line 3", "job.id" } },
  { "cancel of an unknown job",
    kHeader + R"({"cancel":{"atMs":1,"job":"x"}})" + "\n",
    { "line 2", "cancel.job", "x" } },
  { "bad contract",
    kHeader + R"({"contract":{"atMs":1,"document":{"customer":"A b"}}})" + "\n",
    { "line 2", "contract.document.customer" } },
  { "later format",
    With(kHeader, "\"format\":1", "\"format\":2"),
    { "line 1", "header.format" } },
  { "share above 1",
    With(kHeader, "\"maxNotRunShare\":0", "\"maxNotRunShare\":2"),
    { "line 1", "header.outcomes.maxNotRunShare" } },
};

INSTANTIATE_TEST_SUITE_P(Table, TraceRefused, testing::ValuesIn(kBadTraces));

TEST(Trace, ReadsEachKindOfLine)
{
  const std::string cancel = R"({"cancel":{"atMs":7,"job":"j"}})";
  const auto trace = ParseTrace(kHeader + kRequest + kJob + cancel);
  ASSERT_TRUE(trace.ok()) << trace.status();
  EXPECT_EQ(trace->mHeader.mDurationMs, 1000);
  ASSERT_EQ(trace->mEvents.size(), 3U);
  EXPECT_EQ(std::get<TraceRequest>(trace->mEvents[0]).mServiceUs, 9);
  EXPECT_EQ(std::get<TraceJob>(trace->mEvents[1]).mId, JobId("j"));
  EXPECT_EQ(std::get<TraceCancel>(trace->mEvents[2]).mJob, JobId("j"));
}

class Generated : public testing::TestWithParam<const char*>
{};

TEST_P(Generated, IsReadBackEqual)
{
  const Trace trace = GenerateTrace(*FindDeploymentShape(GetParam()), 7);
  const auto read = ParseTrace(FormatTrace(trace));
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_TRUE(*read == trace);
  EXPECT_GT(read->mEvents.size(), 1'000U);
}

TEST_P(Generated, DependsOnTheSeedAlone)
{
  const DeploymentShape shape = *FindDeploymentShape(GetParam());
  EXPECT_TRUE(GenerateTrace(shape, 7) == GenerateTrace(shape, 7));
  EXPECT_FALSE(GenerateTrace(shape, 7) == GenerateTrace(shape, 8));
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         Generated,
                         testing::Values("trasowka", "qoima"));

TEST(JobSpec, ArgumentsDefineTheRealBehaviour)
{
  TraceJob job;
  job.mRunMs = 250;
  job.mFails = true;
  job.mUsed = { 500, 64, 0 };
  job.mDeclaredRunMs = 10;
  const JobSpec spec = ToJobSpec(job);
  EXPECT_EQ(spec.mDeclaredRunTime, std::chrono::milliseconds(10));
  EXPECT_EQ(spec.mArguments,
            R"({"fail":true,"runMs":250,"usedMemoryMb":64,)"
            R"("usedMillicores":500})");
}

} // namespace
} // namespace foxtailbarrow
