#include "apps/ctl/JobCommands.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "apps/ctl/FleetCommands.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::ctl {
namespace {

using testing::HasSubstr;

/// An entry that records the request and returns a prepared answer.
class FakeEntry
{
public:
  FakeEntry(unsigned aStatus, std::string aBody)
  {
    net::HttpResponse response;
    response.mStatus = aStatus;
    response.mBody = std::move(aBody);
    response.mHeaders.Set("Retry-After", "2");
    mAnswer = response;
  }
  explicit FakeEntry(absl::Status aStatus)
    : mAnswer(std::move(aStatus))
  {
  }

  CallEntry Call()
  {
    return [this](const net::HttpRequest& aRequest, bool) {
      mRequest = aRequest;
      return mAnswer;
    };
  }

  net::HttpRequest mRequest;

private:
  absl::StatusOr<net::HttpResponse> mAnswer;
};

TEST(JobCommands, SubmitWithAKey)
{
  FakeEntry entry(202, R"({"id":"hydro.k1","state":"queued"})");
  JobSpec spec;
  spec.mCustomer = CustomerId("hydro");
  spec.mProgram = "sleep";
  const CommandResult result =
    SubmitJob(entry.Call(), SubmissionBody(spec), "key-1");
  EXPECT_EQ(result.mExitCode, kExitOk);
  EXPECT_THAT(result.mText, HasSubstr("hydro.k1"));
  EXPECT_EQ(entry.mRequest.mMethod, "POST");
  EXPECT_EQ(entry.mRequest.mHeaders.Find("Idempotency-Key"), "key-1");
  EXPECT_FALSE(ParseJson(entry.mRequest.mBody)->isMember("id"));
}

TEST(JobCommands, ListWithFiltersAndReportUnreachableEntries)
{
  FakeEntry entry(200,
                  R"({"jobs":[{"id":"hydro.k1","state":"parked",)"
                  R"("reason":"larger-than-any-worker"}],)"
                  R"("unreachable":["entry-2"]})");
  const CommandResult result = ListJobs(entry.Call(), "hydro", "parked");
  EXPECT_EQ(entry.mRequest.mTarget,
            "/foxtailbarrow/v1/jobs?customer=hydro&state=parked");
  EXPECT_THAT(result.mText, HasSubstr("larger-than-any-worker"));
  EXPECT_THAT(result.mText,
              HasSubstr("incomplete: no answer from entry "
                        "entry-2"));
}

TEST(JobCommands, ExplainWithTheLatestDecisions)
{
  FakeEntry entry(200,
                  R"({"record":{"spec":{"id":"h.k1","customer":"h"},)"
                  R"("state":"queued","epoch":0,"reason":""},)"
                  R"("decisions":[{"ageMs":9,"reason":"waiting-for-quota"}]})");
  const CommandResult result = ExplainJob(entry.Call(), "h.k1");
  EXPECT_EQ(entry.mRequest.mTarget, "/foxtailbarrow/v1/jobs/h.k1/explain");
  EXPECT_THAT(result.mText, HasSubstr("job h.k1 of h: queued"));
  EXPECT_THAT(result.mText, HasSubstr("waiting-for-quota"));
}

TEST(JobCommands, Cancel)
{
  FakeEntry entry(202, R"({"id":"h.k1","cancelRequested":true})");
  EXPECT_EQ(CancelJob(entry.Call(), "h.k1").mExitCode, kExitOk);
  EXPECT_EQ(entry.mRequest.mMethod, "DELETE");
}

TEST(FleetCommands, ShowServersAndWorkers)
{
  FakeEntry entry(200,
                  R"([{"agent":"agent-1","state":"serving","slots":8,)"
                  R"("capacity":{"millicores":64000},)"
                  R"("reserved":{"millicores":500}}])");
  EXPECT_THAT(ListServers(entry.Call()).mText, HasSubstr("agent-1"));
  EXPECT_THAT(ListWorkers(entry.Call()).mText, HasSubstr("500/64000"));
  EXPECT_EQ(entry.mRequest.mTarget, "/state/agents");
}

struct ErrorCase
{
  std::string mName;
  FakeEntry mEntry;
  int mExitCode = 0;
  std::vector<std::string> mExpectedTexts;

  friend void PrintTo(const ErrorCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

class EntryError : public testing::TestWithParam<ErrorCase>
{};

TEST_P(EntryError, IsReportedWithItsExitCode)
{
  FakeEntry entry = GetParam().mEntry;
  const CommandResult result = ExplainJob(entry.Call(), "h.k1");
  EXPECT_EQ(result.mExitCode, GetParam().mExitCode);
  for (const std::string& part : GetParam().mExpectedTexts) {
    EXPECT_THAT(result.mText, HasSubstr(part));
  }
}

const ErrorCase kErrorCases[] = {
  { "not found",
    FakeEntry(404, R"({"error":"no such job","verdict":"not-run"})"),
    kExitRefused,
    { "h.k1", "no such job", "not-run" } },
  { "store unavailable",
    FakeEntry(503, R"({"error":"no store","reason":"waiting-for-store"})"),
    kExitUnreachable,
    { "no store", "waiting-for-store", "after 2 s" } },
  { "invalid JSON",
    FakeEntry(200, "hello"),
    kExitUnreachable,
    { "not valid JSON" } },
  { "error without body", FakeEntry(500, ""), kExitUnreachable, { "500" } },
  { "connection refused",
    FakeEntry(WithVerdict(absl::UnavailableError("refused"), Verdict::NotRun)),
    kExitUnreachable,
    { "refused", "not-run" } },
  { "reply lost",
    FakeEntry(absl::DeadlineExceededError("timeout")),
    kExitUnreachable,
    { "timeout", "may-have-run" } },
};

INSTANTIATE_TEST_SUITE_P(Table, EntryError, testing::ValuesIn(kErrorCases));

} // namespace
} // namespace foxtailbarrow::ctl
