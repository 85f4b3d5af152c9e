#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/AdviceClient.h"
#include "platform/ConfigurationCodec.h"
#include "platform/JobApi.h"
#include "platform/KvCodec.h"
#include "platform/WorkerCodec.h"
#include "platform/WorkerHeartbeat.h"
#include "src/core/cell/CellScheduler.h"
#include "src/core/message/Codec.h"
#include "src/net/FiberRuntime.h"

/// Sound messages and records with random changes, read as every process reads
/// them, in a fiber. ROUNDS=N and SEED=N run more of them by hand.
namespace foxtailbarrow::platform::test {

namespace {

constexpr int kRounds = 400;
constexpr char kJobId[] = "5c0e7a21d94b36f8";

int FromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName); // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? aDefault : std::atoi(text); // NOLINT(cert-err34-c)
}

/// Replaces parts of a text by odd ones.
class Mutator
{
public:
  explicit Mutator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::string Mutated(std::string aText)
  {
    static const std::vector<std::string> kOdd = { "null",
                                                   "true",
                                                   "-1",
                                                   "0.5",
                                                   "1e30",
                                                   "1e999",
                                                   "-1e999",
                                                   "9223372036854775807",
                                                   "65536",
                                                   "2147483648",
                                                   "\"\"",
                                                   "\"\\ud800\"",
                                                   "\"\xff\"",
                                                   "[]",
                                                   "{}",
                                                   std::string(200, '['),
                                                   "4294967296",
                                                   "\"x\"",
                                                   "18446744073709551616" };
    for (std::size_t changes = 1 + Below(3); changes > 0; --changes) {
      const std::size_t at = ValueAt(aText, Below(aText.size() + 1));
      switch (Below(4)) {
        case 0: // A byte.
          if (at < aText.size()) {
            aText[at] = static_cast<char>(Below(256));
          }
          break;
        case 1: // A part is missing.
          aText.erase(std::min(at, aText.size()), Below(8));
          break;
        default: // Another value.
          aText.replace(std::min(at, aText.size()),
                        ValueSize(aText, at),
                        kOdd[Below(kOdd.size())]);
      }
    }
    return aText;
  }

private:
  std::size_t Below(std::size_t aLimit) { return mRandom() % aLimit; }

  /// The beginning of a value after `aFrom`.
  static std::size_t ValueAt(const std::string& aText, std::size_t aFrom)
  {
    const std::size_t before = aText.find_first_of(":[,", aFrom);
    return before == std::string::npos ? 0 : before + 1;
  }

  static std::size_t ValueSize(const std::string& aText, std::size_t aAt)
  {
    const std::size_t end = aText.find_first_of(",]}", aAt);
    return end == std::string::npos ? 0 : end - aAt;
  }

  std::mt19937_64 mRandom;
};

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

cell::CellConfiguration PlainConfiguration()
{
  cell::CellConfiguration configuration;
  cell::QueueRoute route;
  route.mPathPrefix = "/q/";
  route.mPolicy.mQueue = cell::QueueId("queue");
  route.mPolicy.mService = ServiceId("service");
  configuration.mRoutes.push_back(route);
  return configuration;
}

const cell::CellClock kClock{ Instant(std::chrono::hours(1)),
                              1'700'000'000'000 };
const AgentId kAgent("agent");

cell::WorkerState PlainState()
{
  cell::WorkerState state;
  state.mInfo.mIncarnation = cell::WorkerIncarnation("life");
  state.mInfo.mService = ServiceId("service");
  state.mInfo.mCapacity = { 64'000, 64'000, 0 };
  return state;
}

/// An owner that places what it has, and whose state can be saved and sent.
class Owner
{
public:
  Owner()
    : mScheduler(3, {}, [](const cell::CellDecision&) {})
  {
    mScheduler.SetQueues({ PlainConfiguration().mRoutes[0].mPolicy });
    mScheduler.AttachWorker(
      kAgent, { "127.0.0.1", 1 }, 1, PlainState(), kClock);
    mScheduler.OnGrant(kAgent, kClock.mNow + std::chrono::seconds(5));
  }

  void Add(const cell::StoredJob& aJob, const cell::StoredProgress& aProgress)
  {
    mScheduler.AddJob(aJob, aProgress, 1, kClock);
  }

  void Report(cell::ReportRequest aReport)
  {
    aReport.mAgent = kAgent;
    aReport.mSession = 1;
    mScheduler.HandleReport(aReport, kClock);
  }

  /// What is sent and saved must be readable.
  void Run()
  {
    mScheduler.Schedule(kClock);
    for (const cell::UnsavedProgress& job : mScheduler.UnsavedJobs(10)) {
      EXPECT_TRUE(
        FromJsonText<cell::StoredProgress>(ToJsonText(job.mProgress)).ok())
        << ToJsonText(job.mProgress);
      mScheduler.OnProgressSaved(job.mJob, job.mVersion, 9);
    }
    mScheduler.Schedule(kClock);
    const cell::OrderRequest orders = mScheduler.TakeOrders(kAgent);
    EXPECT_TRUE(FromJsonText<cell::OrderRequest>(ToJsonText(orders)).ok())
      << ToJsonText(orders);
  }

private:
  cell::CellScheduler mScheduler;
};

cell::StoredJob PlainJob()
{
  cell::StoredJob job;
  job.mGraph.mId = JobId(kJobId);
  job.mGraph.mQueue = cell::QueueId("queue");
  job.mGraph.mSteps.resize(2);
  job.mGraph.mSteps[0].mReplicas = 4;
  job.mGraph.mSteps[0].mDemand = { 500, 256, 0 };
  job.mGraph.mSteps[1].mAfter = { 0 };
  job.mGraph.mRecurrence = { 2, 1000, 500 };
  return job;
}

/// A text that some process reads, and how.
struct Input
{
  const char* mName;
  std::string mText;
  std::function<void(const std::string&)> mRead;
};

void ReadJobRecord(const std::string& aText)
{
  const auto job = FromJsonText<cell::StoredJob>(aText);
  if (job.ok() && cell::CheckGraph(job->mGraph).ok()) {
    Owner owner;
    owner.Add(*job, {});
    owner.Run();
  }
}

void ReadProgress(const std::string& aText)
{
  if (const auto progress = FromJsonText<cell::StoredProgress>(aText);
      progress.ok()) {
    Owner owner;
    owner.Add(PlainJob(), *progress);
    owner.Run();
  }
}

void ReadReport(const std::string& aText)
{
  if (const auto report = FromJsonText<cell::ReportRequest>(aText);
      report.ok()) {
    Owner owner;
    owner.Add(PlainJob(), {});
    owner.Run();
    owner.Report(*report);
    owner.Run();
  }
}

void ReadPoll(const std::string& aText)
{
  const auto poll = ParsePollReply(aText);
  if (!poll.ok()) {
    return;
  }
  cell::ReportRequest report;
  report.mSequence = 1;
  report.mEndpoint = { "127.0.0.1", 1 };
  report.mState = PlainState();
  report.mState.mRunning = poll->mRunning;
  report.mState.mEnded = poll->mEnded;
  report.mAgent = kAgent;
  EXPECT_TRUE(FromJsonText<cell::ReportRequest>(ToJsonText(report)).ok())
    << ToJsonText(report);
  Owner owner;
  owner.Add(PlainJob(), {});
  owner.Report(report);
  owner.Run();
}

std::string ReportText()
{
  cell::ReportRequest report;
  report.mAgent = kAgent;
  report.mEndpoint = { "127.0.0.1", 1 };
  report.mSession = 1;
  report.mSequence = 1;
  report.mState = PlainState();
  const cell::TaskRef task{ JobId(kJobId), 0, 0, 1 };
  report.mState.mRunning.push_back({ task, 3 << 20U, "c", 5, 7, {} });
  report.mState.mEnded.push_back(
    { 1, task, 2 << 20U, cell::RunEnd::Failed, {} });
  report.mAnsweredAt = std::chrono::seconds(5);
  report.mLeaseLeft = std::chrono::seconds(5);
  return ToJsonText(report);
}

std::string ProgressText()
{
  cell::StoredProgress progress;
  cell::StoredStep step;
  step.mDone = "0100";
  step.mFailures.push_back({ 0, { 2 << 20U } });
  step.mCheckpoints.push_back({ 2, "c" });
  step.mCrashes.push_back({ 3, {}, 1, 2 << 20U });
  progress.mSteps.push_back(step);
  progress.mDoneOccurrences = { 1, 1 };
  return ToJsonText(progress);
}

std::vector<Input> Inputs()
{
  return {
    { "JobRecord", ToJsonText(PlainJob()), ReadJobRecord },
    { "Progress", ProgressText(), ReadProgress },
    { "Report", ReportText(), ReadReport },
    { "AgentRecord",
      R"({"endpoint":{"address":"127.0.0.1","port":1},"closed":true,)"
      R"("tasks":["5c0e7a21d94b36f8.0.1.17"]})",
      [](const auto& aText) {
        (void)FromJsonText<cell::AgentContact>(aText);
      } },
    { "OwnerRecord",
      R"({"scheduler":"s","generation":7,"token":1,)"
      R"("endpoint":{"address":"10.0.0.1","port":7000}})",
      [](const auto& aText) { (void)FromJsonText<cell::OwnerRecord>(aText); } },
    { "Learned",
      R"({"calm":[{"serving":"a","share":0.5}],)"
      R"("pairs":[{"serving":"a","leftover":"b","perCore":1.5}]})",
      [](const auto& aText) {
        (void)FromJsonText<cell::LearnedInterference>(aText);
      } },
    { "Poll",
      R"({"ClockMs":482113,"Running":[["5c0e7a21d94b36f8.0.0.1",2,"c",41,18]],)"
      R"("Ended":[[58,"5c0e7a21d94b36f8.0.0.2",1,"failed",""]]})",
      ReadPoll },
    { "Refusal",
      R"({"ClockMs":5,"Reason":"late"})",
      [](const auto& aText) { (void)ParseRefusal(aText); } },
    { "Heartbeat",
      R"({"Service":"s","Zone":"z","State":"draining","DrainLeftMs":900,)"
      R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":1},)"
      R"("Labels":["a","r1-3"],"CallSeq":4,"born":17})",
      [](const auto& aText) {
        (void)ParseWorkerMessage(Request("PUT", "/runners/i-1", aText));
        (void)ParseWorkerMessage(Request("DELETE", "/runners/i-1", aText));
      } },
    { "Configuration",
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/",)"
      R"("TimeoutMs":3000,"SloMs":250,"Priority":2,"Service":"s",)"
      R"("Attempts":3,"Stretch":1.5,"Advice":{"DecideMs":1,"EachMs":1,)"
      R"("ValidMs":1}}],"Services":[{"Name":"s","EnforcesCapacity":true}],)"
      R"("Limits":{"MaxBodyBytes":262144}})",
      [](const auto& aText) { (void)ParseConfiguration(aText); } },
    { "Advice",
      R"({"Granted":[["i-1","c81e"],["i-9","x"]],"ValidMs":3000})",
      [](const auto& aText) {
        (void)ParseAdvice(aText, std::vector{ cell::WorkerIncarnation("i-1") });
      } },
    { "Job",
      R"({"Spec":"t","Steps":[{"Replicas":4,"Cpu":500,"Affinity":"r1-3"},)"
      R"({"Replicas":2,"After":[0],"TargetMs":18}],"Repeats":2,)"
      R"("StartMs":1000,"IntervalMs":500})",
      [](const auto& aText) {
        const auto job =
          ParseJobRequest(Request("POST", std::string("/q/") + kJobId, aText),
                          PlainConfiguration());
        if (job.ok()) {
          const auto& graph = std::get<cell::SubmitJob>(job->mBody).mGraph;
          EXPECT_TRUE(cell::CheckGraph(graph).ok());
          ReadJobRecord(ToJsonText(cell::StoredJob{ graph, 1, false }));
        }
      } },
    { "StorePage",
      R"({"items":[{"Key":"a","Value":"bm9kZS0x","Revision":412,"Lease":7}],)"
      R"("HasMore":false,"CurrentRev":530})",
      [](const auto& aText) {
        (void)ParsePage(aText);
        (void)ParseConflict(aText);
      } },
    { "StoreChanges",
      R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":412},)"
      R"({"Key":"b","Revision":413,"Tombstone":true}],"CurrentRev":413})",
      [](const auto& aText) { (void)ParseChanges(aText); } },
  };
}

class ParserFuzzTest : public testing::TestWithParam<Input>
{};

/// Guards against an odd entry that ends the process that reads it, or that
/// leads to a message that another process cannot read.
TEST_P(ParserFuzzTest, OddTextsHarmNothing)
{
  const int rounds = FromEnvironment("ROUNDS", kRounds);
  const int seed = FromEnvironment("SEED", 1);
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    GetParam().mRead(GetParam().mText);
    for (int round = 0; round < rounds; ++round) {
      Mutator mutator(static_cast<std::uint64_t>(seed) * 1'000'003U +
                      static_cast<std::uint64_t>(round));
      const std::string text = mutator.Mutated(GetParam().mText);
      GetParam().mRead(text);
      if (testing::Test::HasFailure()) {
        FAIL() << "round " << round << ": " << text;
      }
    }
  });
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ParserFuzzTest,
                         testing::ValuesIn(Inputs()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

} // namespace

} // namespace foxtailbarrow::platform::test
