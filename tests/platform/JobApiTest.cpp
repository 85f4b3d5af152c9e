#include <string>

#include <gtest/gtest.h>

#include "platform/ConfigurationCodec.h"
#include "platform/JobApi.h"
#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/placing/Timeliness.h"

namespace foxtailbarrow::platform::test {

namespace {

constexpr char kId[] = "5c0e7a21d94b36f8";

cell::CellConfiguration Configuration()
{
  cell::CellConfiguration configuration;
  cell::QueueRoute route;
  route.mHost = "jobs.example";
  route.mPathPrefix = "/queue/";
  route.mPolicy.mQueue = cell::QueueId("queue");
  configuration.mRoutes.push_back(route);
  route.mPathPrefix = "/queue/inner/";
  route.mPolicy.mQueue = cell::QueueId("inner");
  configuration.mRoutes.push_back(route);
  configuration.mMaxBodyBytes = 100'000;
  return configuration;
}

net::HttpRequest Request(std::string aMethod,
                         std::string aTarget,
                         std::string aBody = {})
{
  net::HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mHost = "Jobs.Example:80";
  request.mBody = std::move(aBody);
  return request;
}

std::string Step(const std::string& aFields)
{
  return R"({"Spec":"text","Steps":[{)" + aFields + "}]}";
}

TEST(JobApi, ParsesAJob)
{
  const auto request = ParseJobRequest(Request("POST",
                                               std::string("/queue/") + kId,
                                               R"({"Spec":"text","Steps":[
              {"Replicas":4,"Cpu":500,"MemMb":256,"EstimateMs":900,
               "Affinity":"r1-3","Requires":"a","MaxPerServer":2,
               "Speculative":true},
              {"Replicas":20,"Cpu":2000,"After":[0],"Checkpoint":true,
               "Fills":true,"Image":"b","Daemon":true,"TargetMs":18,
               "MayMiss":1,"Gang":true,"SameRack":true,"New":[]}],
              "Repeats":2,"StartMs":1000,"IntervalMs":500})"),
                                       Configuration());
  ASSERT_TRUE(request.ok()) << request.status();
  const auto& graph = std::get<cell::SubmitJob>(request->mBody).mGraph;
  EXPECT_EQ(graph.mId, JobId(kId));
  EXPECT_EQ(graph.mQueue, cell::QueueId("queue"));
  EXPECT_EQ(graph.mPayload, "text");
  EXPECT_EQ(graph.mRecurrence, (cell::Recurrence{ 2, 1000, 500 }));
  ASSERT_EQ(graph.mSteps.size(), 2U);
  EXPECT_EQ(graph.mSteps[0].mDemand, (Resources{ 500, 256, 0 }));
  EXPECT_EQ(graph.mSteps[0].mDataRack, RackId("r1-3"));
  EXPECT_TRUE(graph.mSteps[0].mSpeculative);
  EXPECT_EQ(graph.mSteps[0].mMaxPerWorker, 2);
  const cell::StepSpec& second = graph.mSteps[1];
  EXPECT_EQ(second.mAfter, std::vector<std::int32_t>{ 0 });
  EXPECT_TRUE(second.mCheckpoints && second.mBestEffort && second.mStanding &&
              second.mGang && second.mSameRack);
  EXPECT_EQ(second.mLatencyTarget, std::chrono::milliseconds(18));
  EXPECT_EQ(second.mMaxUnavailable, 1);
}

struct TargetCase
{
  const char* mName;
  const char* mMethod;
  const char* mTarget;
  std::size_t mKind; ///< Index in the variant.
};

class JobApiTargets : public testing::TestWithParam<TargetCase>
{};

/// The largest number of steps, each with every field and all dependencies.
std::string LargestJob()
{
  std::string steps;
  std::string after;
  for (std::size_t i = 0; i < cell::kMaxSteps; ++i) {
    steps += (i == 0 ? "{" : ",{");
    steps += R"("Replicas":4,"Cpu":500,"MemMb":256,"Gpu":1,"EstimateMs":900,)"
             R"("Affinity":"r","Requires":"a","MaxPerServer":2,"Image":"b",)"
             R"("Speculative":true,"Checkpoint":true,"Fills":true,)"
             R"("Daemon":true,"TargetMs":18,"MayMiss":1,"Gang":true,)"
             R"("SameRack":true,"After":[)" +
             after + "]}";
    after += (i == 0 ? "" : ",") + std::to_string(i);
  }
  return R"({"Spec":")" + std::string(cell::kMaxPayloadBytes, ',') +
         R"(","Steps":[)" + steps + "]}";
}

TEST(JobApi, ParsesTheLargestJob)
{
  const auto request =
    ParseJobRequest(Request("POST", std::string("/queue/") + kId, LargestJob()),
                    Configuration());
  ASSERT_TRUE(request.ok()) << request.status();
}

TEST(JobApi, RefusesMoreValuesThanAJobHas)
{
  std::string body = R"({"Steps":[)";
  while (body.size() < 99'000) {
    body += "[],";
  }
  const auto request = ParseJobRequest(
    Request("POST", std::string("/queue/") + kId, body + "[]]}"),
    Configuration());
  EXPECT_TRUE(absl::IsInvalidArgument(request.status()));
  EXPECT_NE(std::string::npos, request.status().message().find("values"))
    << request.status();
}

TEST_P(JobApiTargets, SelectTheKindOfRequest)
{
  const auto request = ParseJobRequest(
    Request(GetParam().mMethod, GetParam().mTarget), Configuration());
  ASSERT_TRUE(request.ok()) << request.status();
  EXPECT_EQ(request->mBody.index(), GetParam().mKind);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  JobApiTargets,
  testing::Values(
    TargetCase{ "Read", "GET", "/queue/5c0e7a21d94b36f8", 1 },
    TargetCase{ "ReadWithQuery", "GET", "/queue/5c0e7a21d94b36f8?x=1", 1 },
    TargetCase{ "Cancel", "DELETE", "/queue/5C0E7A21D94B36F8", 2 },
    TargetCase{ "Count", "GET", "/queue/", 3 },
    TargetCase{ "CountOfLongestPrefix", "GET", "/queue/inner/", 3 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct BadCase
{
  const char* mName;
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  absl::StatusCode mCode = absl::StatusCode::kInvalidArgument;
};

class JobApiBadInput : public testing::TestWithParam<BadCase>
{};

TEST_P(JobApiBadInput, IsRefused)
{
  const BadCase& bad = GetParam();
  const auto request = ParseJobRequest(
    Request(bad.mMethod, bad.mTarget, bad.mBody), Configuration());
  EXPECT_EQ(request.status().code(), bad.mCode);
}

const std::string kJob = "/queue/5c0e7a21d94b36f8";

INSTANTIATE_TEST_SUITE_P(
  Table,
  JobApiBadInput,
  testing::Values(
    BadCase{ "NoSuchQueue", "GET", "/other/", "", absl::StatusCode::kNotFound },
    BadCase{ "ShortId", "GET", "/queue/5c0e", "" },
    BadCase{ "IdNotHex", "GET", "/queue/5c0e7a21d94b36fz", "" },
    BadCase{ "NoSuchMethod", "PATCH", kJob, "" },
    BadCase{ "EmptyBody", "POST", kJob, "" },
    BadCase{ "TruncatedBody", "POST", kJob, R"({"Spec":"te)" },
    BadCase{ "ListAsBody", "POST", kJob, "[]" },
    BadCase{ "NoSteps", "POST", kJob, R"({"Spec":"text"})" },
    BadCase{ "NoStepInSteps", "POST", kJob, R"({"Steps":[]})" },
    BadCase{ "StepIsNoObject", "POST", kJob, R"({"Steps":[7]})" },
    BadCase{ "NoReplicas", "POST", kJob, Step(R"("Cpu":1)") },
    BadCase{ "NegativeReplicas", "POST", kJob, Step(R"("Replicas":-1)") },
    BadCase{ "TooManyReplicas", "POST", kJob, Step(R"("Replicas":10001)") },
    BadCase{ "ReplicasAsText", "POST", kJob, Step(R"("Replicas":"4")") },
    BadCase{ "NegativeCpu", "POST", kJob, Step(R"("Replicas":1,"Cpu":-5)") },
    BadCase{ "HugeMemory",
             "POST",
             kJob,
             Step(R"("Replicas":1,"MemMb":1e300)") },
    BadCase{ "AfterItself", "POST", kJob, Step(R"("Replicas":1,"After":[0])") },
    BadCase{ "AfterALaterOne",
             "POST",
             kJob,
             Step(R"("Replicas":1,"After":[3])") },
    BadCase{ "AfterIsNoList", "POST", kJob, Step(R"("Replicas":1,"After":1)") },
    BadCase{ "FlagAsNumber", "POST", kJob, Step(R"("Replicas":1,"Gang":1)") },
    BadCase{ "SpecTooLong",
             "POST",
             kJob,
             R"({"Spec":")" + std::string(4001, 'x') +
               R"(","Steps":[{"Replicas":1}]})" },
    BadCase{ "BodyTooLong", "POST", kJob, std::string(100'001, ' ') },
    BadCase{ "NegativeRepeats",
             "POST",
             kJob,
             R"({"Steps":[{"Replicas":1}],"Repeats":-1})" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct AnswerCase
{
  const char* mName;
  cell::JobAnswer mAnswer;
  unsigned mStatus;
  const char* mBody;
};

class JobApiAnswers : public testing::TestWithParam<AnswerCase>
{};

TEST_P(JobApiAnswers, HaveTheirStatus)
{
  const net::HttpResponse response = FormatAnswer(GetParam().mAnswer);
  EXPECT_EQ(response.mStatus, GetParam().mStatus);
  EXPECT_NE(response.mBody.find(GetParam().mBody), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  JobApiAnswers,
  testing::Values(
    AnswerCase{ "Accepted", cell::JobAccepted{}, 200, "{}" },
    AnswerCase{ "Shown",
                cell::JobShown{ cell::JobPhase::Completed },
                200,
                R"("State":"completed")" },
    AnswerCase{ "Cancelled", cell::JobCancelled{}, 200, "{}" },
    AnswerCase{ "Counted", cell::WaitingCounted{ 12 }, 200, R"("Waiting":12)" },
    AnswerCase{ "NoSuchJob", cell::NoSuchJob{}, 410, "{}" },
    AnswerCase{ "NotRun",
                cell::JobRefused{ cell::RefusalCause::StoreUnavailable,
                                  Verdict::NotRun,
                                  "away" },
                503,
                "store-away" },
    AnswerCase{ "MayHaveRun",
                cell::JobRefused{ cell::RefusalCause::Unknown,
                                  Verdict::MayHaveRun,
                                  "lost" },
                504,
                "fate-unknown" },
    AnswerCase{
      "NoSuchQueue",
      cell::JobRefused{ cell::RefusalCause::NoSuchQueue, Verdict::NotRun, "" },
      404,
      "no-such-queue" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(JobApi, ARefusalHasARetryAfterHeader)
{
  const net::HttpResponse response = FormatAnswer(
    cell::JobRefused{ cell::RefusalCause::NotReady, Verdict::NotRun, "" });
  EXPECT_TRUE(response.mHeaders.Find("Retry-After").has_value());
}

/// The sums and multiples of the largest values of callers and operator must
/// not overflow: the job would count as hopeless.
TEST(JobApi, TheLargestValuesGiveADeadlineInTheFuture)
{
  const auto configuration = ParseConfiguration(
    R"({"Version":1,"Routes":[{"Name":"queue","Host":"jobs.example",
        "Prefix":"/queue/","Service":"s",
        "SloMs":1e18,"Stretch":1e18}]})");
  ASSERT_TRUE(configuration.ok());
  std::string steps;
  for (std::size_t i = 0; i < cell::kMaxSteps; ++i) {
    steps +=
      (i == 0 ? "" : ",") +
      std::string(R"({"Replicas":1,"EstimateMs":31536000000,"After":[)") +
      (i == 0 ? "" : std::to_string(i - 1)) + "]}";
  }
  const auto request = ParseJobRequest(Request("POST",
                                               std::string("/queue/") + kId,
                                               R"({"Steps":[)" + steps + "]}"),
                                       *configuration);
  ASSERT_TRUE(request.ok()) << request.status();
  const cell::JobGraph& graph =
    std::get<cell::SubmitJob>(request->mBody).mGraph;
  cell::CellScheduler scheduler(1, {}, [](const cell::CellDecision&) {});
  scheduler.SetQueues({ configuration->mRoutes[0].mPolicy });
  const cell::CellClock clock{ Instant(std::chrono::hours(1)), 1 };
  scheduler.AddJob({ graph, 1, false }, {}, 0, clock);
  cell::JobEntry job = scheduler.Jobs().at(JobId(kId));
  EXPECT_GT(job.mDeadline, clock.mNow + std::chrono::hours(24 * 365 * 64));
  EXPECT_EQ(cell::TimelinessOf(job, job.Open(0), false, clock.mNow),
            cell::Timeliness::OnTime);
  EXPECT_NE(cell::TimelinessOf(job, job.Open(0), false, job.mDeadline),
            cell::Timeliness::OnTime);
}

} // namespace

} // namespace foxtailbarrow::platform::test
