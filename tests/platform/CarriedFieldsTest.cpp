#include <random>
#include <string>

#include <gtest/gtest.h>

#include "platform/AdviceClient.h"
#include "platform/ConfigurationCodec.h"
#include "platform/JobApi.h"
#include "platform/WorkerCodec.h"
#include "platform/WorkerHeartbeat.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/JobForward.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"

/// Whatever the platform's callers, workers and operator may say is carried by
/// every record and message, or a caller is told at once.
namespace foxtailbarrow::platform::test {

namespace {

constexpr int kRounds = 3'000;
constexpr char kPath[] = "/queue/5c0e7a21d94b36f8";

/// Draws JSON string literals of texts that a JSON body may contain.
class RandomText
{
public:
  explicit RandomText(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::size_t Below(std::size_t aLimit) { return mRandom() % aLimit; }

  /// A literal of up to some `aMost` characters.
  std::string Literal(std::size_t aMost)
  {
    static const std::vector<std::string> kParts = { "a",
                                                     "Z",
                                                     "7",
                                                     "-",
                                                     ".",
                                                     ":",
                                                     "/",
                                                     " ",
                                                     "%2F",
                                                     "x:",
                                                     "\\\"",
                                                     "\\\\",
                                                     "\\n",
                                                     "\\u0000",
                                                     "\\u001a",
                                                     "\\u001ad800",
                                                     "\\ud800",
                                                     "\\udc00",
                                                     "\\ud83d\\ude00",
                                                     "\xc5\xbc",
                                                     "\xf0\x9f\x98\x80",
                                                     "\\u00e9",
                                                     "\x7f",
                                                     "#" };
    std::string literal = "\"";
    for (std::size_t i = Below(aMost + 1); i > 0; --i) {
      literal += kParts[Below(kParts.size())];
    }
    return literal + "\"";
  }

  std::string Any()
  {
    constexpr std::size_t kShort = 12;
    constexpr std::size_t kLong = 1'500;
    return Literal(Below(10) == 0 ? kLong : kShort);
  }

  std::string Number()
  {
    static const std::vector<std::string> kNumbers = { "0",
                                                       "1",
                                                       "100",
                                                       "2147483648",
                                                       "9223372036854775807",
                                                       "1e3",
                                                       "1e300",
                                                       "18446744073709551615" };
    return kNumbers[Below(kNumbers.size())];
  }

private:
  std::mt19937_64 mRandom;
};

/// Reads back what a peer or the store receives.
template<typename Message>
testing::AssertionResult IsCarried(const Message& aMessage)
{
  const auto read = FromJsonText<Message>(ToJsonText(aMessage));
  if (!read.ok()) {
    return testing::AssertionFailure() << read.status();
  }
  return ToJsonText(*read) == ToJsonText(aMessage)
           ? testing::AssertionSuccess()
           : testing::AssertionFailure() << "changed: " << ToJsonText(*read);
}

cell::CellConfiguration PlainConfiguration()
{
  cell::CellConfiguration configuration;
  cell::QueueRoute route;
  route.mPathPrefix = "/queue/";
  route.mPolicy.mQueue = cell::QueueId("queue");
  configuration.mRoutes.push_back(route);
  return configuration;
}

net::HttpRequest Request(std::string aMethod,
                         std::string aTarget,
                         std::string aBody)
{
  net::HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

/// Guards against jobs that are accepted and lost with the scheduler that
/// accepted them, as no other process can read their records.
TEST(CarriedFieldsTest, AnAcceptedJobIsCarried)
{
  std::size_t accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    RandomText text(round);
    const std::string body =
      R"({"Spec":)" + text.Any() + R"(,"Steps":[{"Replicas":1,"Cpu":)" +
      text.Number() + R"(,"MemMb":)" + text.Number() + R"(,"Gpu":)" +
      text.Number() + R"(,"EstimateMs":)" + text.Number() + R"(,"Affinity":)" +
      text.Any() + R"(,"Requires":)" + text.Any() + R"(,"Image":)" +
      text.Any() + R"(,"TargetMs":)" + text.Number() + R"(}],"Repeats":)" +
      text.Number() + R"(,"StartMs":)" + text.Number() + R"(,"IntervalMs":)" +
      text.Number() + "}";
    const auto request =
      ParseJobRequest(Request("POST", kPath, body), PlainConfiguration());
    if (!request.ok()) {
      EXPECT_FALSE(request.status().message().empty());
      continue;
    }
    ++accepted;
    const auto& graph = std::get<cell::SubmitJob>(request->mBody).mGraph;
    ASSERT_TRUE(IsCarried(cell::StoredJob{ graph, 1, false })) << body;
    cell::OrderRequest order;
    cell::StartOrder& start = order.mStarts.emplace_back();
    start.mTask = { graph.mId, 0, 0, 0 };
    start.mPayload = graph.mPayload;
    start.mImage = graph.mSteps[0].mImage;
    ASSERT_TRUE(IsCarried(order)) << body;
  }
  EXPECT_GT(accepted, 10U);
}

/// Guards against a worker whose agent sends reports that no owner can read.
TEST(CarriedFieldsTest, AWorkersReportIsCarried)
{
  for (int round = 0; round < kRounds; ++round) {
    RandomText text(round);
    std::string labels;
    for (std::size_t i = text.Below(100); i > 0; --i) {
      labels += text.Any() + ",";
    }
    const std::string body =
      R"({"Service":"s)" + text.Any().substr(1) + R"(,"Zone":"z)" +
      text.Any().substr(1) + R"(,"State":"draining","DrainLeftMs":)" +
      text.Number() + R"(,"Version":)" + text.Any() +
      R"(,"CallSeq":4,"Capacity":{"Cpu":)" + text.Number() + R"(,"MemMb":)" +
      text.Number() + R"(,"Gpu":)" + text.Number() + R"(},"Labels":[)" +
      labels + "\"r/1\"]}";
    const auto message =
      ParseWorkerMessage(Request("PUT", "/runners/i~7/@", body));
    ASSERT_TRUE(message.ok()) << message.status() << " " << body;
    cell::ReportRequest report;
    report.mAgent = AgentId("agent");
    report.mEndpoint = { "127.0.0.1", 1 };
    report.mState.mInfo = std::get<WorkerHeartbeat>(*message).mInfo;
    const std::string rows =
      R"({"ClockMs":1,"Running":[["5c0e7a21d94b36f8.0.1.17",)" + text.Number() +
      "," + text.Any() + "," + text.Number() + "," + text.Number() +
      R"(]],"Ended":[[1,"5c0e7a21d94b36f8.0.1.9",)" + text.Number() +
      R"(,"done",)" + text.Any() + "]]}";
    const auto poll = ParsePollReply(rows);
    ASSERT_TRUE(poll.ok()) << rows;
    report.mState.mRunning = poll->mRunning;
    report.mState.mEnded = poll->mEnded;
    ASSERT_TRUE(IsCarried(report)) << body << rows;
  }
}

/// A worker resumes from a checkpoint that it gave itself, whatever its text.
TEST(CarriedFieldsTest, ACheckpointIsPassedBackAsItWas)
{
  for (int round = 0; round < kRounds; ++round) {
    RandomText text(round);
    const std::string literal = text.Literal(30);
    const std::string rows =
      R"({"Running":[["5c0e7a21d94b36f8.0.1.17",2,)" + literal + "]]}";
    const auto poll = ParsePollReply(rows);
    ASSERT_TRUE(poll.ok()) << rows;
    const std::string& checkpoint = poll->mRunning[0].mCheckpoint;
    cell::OrderRequest order;
    cell::StartOrder& start = order.mStarts.emplace_back();
    start.mTask = poll->mRunning[0].mTask;
    start.mCheckpoint = checkpoint;
    ASSERT_TRUE(IsCarried(order)) << rows;
    const std::string call =
      FormatStart({ poll->mRunning[0].mTask, 3, "", checkpoint, "", 1, 1 });
    const auto again = ParsePollReply(
      R"({"Running":[["5c0e7a21d94b36f8.0.1.17",2,)" +
      (checkpoint.empty()
         ? std::string("\"\"")
         : call.substr(call.find(':') + 1,
                       call.find(",\"DeadlineMs\"") - call.find(':') - 1)) +
      "]]}");
    ASSERT_TRUE(again.ok()) << call;
    EXPECT_EQ(again->mRunning[0].mCheckpoint, checkpoint) << call;
  }
}

/// The names of queues and services reach other processes in messages.
TEST(CarriedFieldsTest, TheNamesOfAConfigurationAreCarried)
{
  for (int round = 0; round < kRounds; ++round) {
    RandomText text(round);
    const std::string service = text.Any();
    const std::string body =
      R"({"Version":7,"Routes":[{"Name":)" + text.Any() + R"(,"Host":)" +
      text.Any() + R"(,"Prefix":)" + text.Any() + R"(,"Service":)" + service +
      R"(}],"Services":[{"Name":)" + service + R"(,"EnforcesCapacity":true}]})";
    const auto configuration = ParseConfiguration(body);
    ASSERT_TRUE(configuration.ok()) << configuration.status() << body;
    ASSERT_EQ(configuration->mRoutes.size(), 1U);
    const cell::QueuePolicy& policy = configuration->mRoutes[0].mPolicy;
    EXPECT_TRUE(policy.mWorkersGuard);
    ASSERT_TRUE(IsCarried(cell::QueryWaiting{ policy.mQueue })) << body;
    cell::ReportRequest report;
    report.mAgent = AgentId("agent");
    report.mEndpoint = { "127.0.0.1", 1 };
    report.mState.mInfo.mService = policy.mService;
    ASSERT_TRUE(IsCarried(report)) << body;
  }
}

/// The advisor knows a worker by the id that the worker states.
TEST(CarriedFieldsTest, TheAdvisorIsAskedByTheWorkersOwnId)
{
  const auto message = ParseWorkerMessage(
    Request("PUT",
            "/runners/i~7/@",
            R"({"Service":"s","Zone":"z","State":"ready","CallSeq":1,)"
            R"("Capacity":{"Cpu":1,"MemMb":1}})"));
  ASSERT_TRUE(message.ok()) << message.status();
  const auto& incarnation =
    std::get<WorkerHeartbeat>(*message).mInfo.mIncarnation;
  cell::AdviceQuery query;
  query.mWorkers = { incarnation };
  EXPECT_NE(FormatAdviceQuery(query).find("\"i~7/@\""), std::string::npos);
  const auto reply =
    ParseAdvice(R"({"ValidMs":5,"Granted":[["i~7/@","t"]]})", query.mWorkers);
  ASSERT_TRUE(reply.ok());
  ASSERT_EQ(reply->mGranted.size(), 1U);
  EXPECT_EQ(reply->mGranted[0].mWorker, incarnation);
}

/// Records of earlier versions have the names as they are.
TEST(CarriedFieldsTest, ARecordOfAnEarlierVersionIsRead)
{
  const auto job = FromJsonText<cell::StoredJob>(
    R"({"acceptedUnixMs":1,"graph":{"id":"5c0e7a21d94b36f8","queue":"a b",)"
    R"("steps":[{"replicas":1,"dataRack":"r1/3"}]}})");
  ASSERT_TRUE(job.ok()) << job.status();
  const auto request = ParseJobRequest(
    Request("POST", kPath, R"({"Steps":[{"Replicas":1,"Affinity":"r1/3"}]})"),
    PlainConfiguration());
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(
    job->mGraph.mSteps[0].mDataRack,
    std::get<cell::SubmitJob>(request->mBody).mGraph.mSteps[0].mDataRack);
}

} // namespace

} // namespace foxtailbarrow::platform::test
