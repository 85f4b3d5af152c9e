#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/ConfigurationCodec.h"
#include "platform/IncarnationCodec.h"
#include "platform/KvCodec.h"
#include "platform/TaskName.h"
#include "platform/WireJson.h"
#include "platform/WorkerCodec.h"
#include "platform/WorkerHeartbeat.h"

namespace foxtailbarrow::platform::test {

namespace {

const cell::TaskRef kTask{ JobId("5c0e7a21d94b36f8"), 0, 1, 17 };

TEST(TaskName, RoundTrips)
{
  EXPECT_EQ(FormatTaskName(kTask), "5c0e7a21d94b36f8.0.1.17");
  EXPECT_EQ(ParseTaskName("5c0e7a21d94b36f8.0.1.17"), kTask);
}

class BadTaskNames : public testing::TestWithParam<const char*>
{};

TEST_P(BadTaskNames, AreRefused)
{
  EXPECT_FALSE(ParseTaskName(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadTaskNames,
                         testing::Values("",
                                         "a",
                                         "a.0.1",
                                         "a.0.1.2.3",
                                         "a.x.1.2",
                                         ".0.1.2",
                                         "a.0.1."));

TEST(WorkerCodec, ParsesAPollReply)
{
  const auto poll = ParsePollReply(
    R"({"ClockMs":482113,
        "Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,1800]],
        "Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(poll.ok());
  EXPECT_EQ(poll->mClock, 482113);
  ASSERT_EQ(poll->mRunning.size(), 1U);
  EXPECT_EQ(poll->mRunning[0],
            (cell::RunningTask{ kTask, 2, "00000bb87a21d94b", 41, 1800 }));
  ASSERT_EQ(poll->mEnded.size(), 1U);
  EXPECT_EQ(poll->mEnded[0].mNumber, 58);
  EXPECT_EQ(poll->mEnded[0].mEnd, cell::RunEnd::Done);
}

class BadPollReplies : public testing::TestWithParam<const char*>
{};

TEST_P(BadPollReplies, AreErrors)
{
  EXPECT_FALSE(ParsePollReply(GetParam()).ok());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadPollReplies,
                         testing::Values("",
                                         "[]",
                                         R"({"ClockMs":"x"})",
                                         R"({"Running":7})",
                                         R"({"Ended":{}})",
                                         R"({"ClockMs":1e18})"));

class OddRows : public testing::TestWithParam<const char*>
{};

/// One row that could not be read made the worker count as silent, so that all
/// of its tasks were lost.
TEST_P(OddRows, AreLeftOut)
{
  const std::string row = GetParam();
  const auto poll =
    ParsePollReply(R"({"ClockMs":5,"Running":[)" + row +
                   R"(,["5c0e7a21d94b36f8.0.1.17",2,"",41]],"Ended":[)" + row +
                   R"(,[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(poll.ok()) << poll.status();
  EXPECT_EQ(poll->mClock, 5);
  ASSERT_EQ(poll->mRunning.size(), 1U);
  EXPECT_EQ(poll->mRunning[0].mTask, kTask);
  ASSERT_EQ(poll->mEnded.size(), 1U);
  EXPECT_EQ(poll->mEnded[0].mNumber, 58);
  EXPECT_EQ(poll->mUnreadable, 2U);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  OddRows,
  testing::Values("7",
                  "null",
                  R"(["bad",1])",
                  R"([1,"a.0.0.0",1,"odd"])",
                  R"(["a.0.0.99999999999",1])",
                  R"(["a.0.0.0",9223372036854775807])",
                  R"([1,"a.0.0.0",9e18,"done"])",
                  "1e999",
                  "\"\xff\"",
                  R"([[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[)"
                  R"(]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]])"));

TEST(WorkerCodec, FormatsCalls)
{
  EXPECT_EQ(FormatStart({ kTask, 2, "text", "", "", 486000, 7 }),
            R"({"DeadlineMs":486000,"Fence":7,"Run":2,"Spec":"text",)"
            R"("Task":"5c0e7a21d94b36f8.0.1.17"})");
  cell::PollCall poll;
  poll.mFence = 7;
  poll.mAcknowledged = 57;
  poll.mWait = std::chrono::milliseconds(1000);
  EXPECT_EQ(FormatPoll(poll), R"({"Acked":57,"Fence":7,"WaitMs":1000})");
}

struct RefusalCase
{
  const char* mReason;
  cell::StartOutcome mOutcome;
};

class Refusals : public testing::TestWithParam<RefusalCase>
{};

TEST_P(Refusals, HaveTheirOutcome)
{
  const auto reply = ParseRefusal(std::string(R"({"ClockMs":5,"Reason":")") +
                                  GetParam().mReason + R"("})");
  ASSERT_TRUE(reply.ok());
  EXPECT_EQ(reply->mOutcome, GetParam().mOutcome);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  Refusals,
  testing::Values(RefusalCase{ "room", cell::StartOutcome::NoFreeCapacity },
                  RefusalCase{ "old", cell::StartOutcome::StaleRun },
                  RefusalCase{ "late", cell::StartOutcome::NoLease },
                  RefusalCase{ "fence", cell::StartOutcome::NotStarted },
                  RefusalCase{ "new", cell::StartOutcome::NotStarted }));

/// The orders of a worker stayed unsettled for a reason that could not be read.
TEST(WorkerCodec, ARefusalWithAnOddReasonIsARefusal)
{
  for (const std::string& reason : std::vector<std::string>{
         "7", "null", "1e999", R"(")" + std::string(100, 'x') + R"(")" }) {
    const auto reply = ParseRefusal(R"({"ClockMs":5,"Reason":)" + reason + "}");
    ASSERT_TRUE(reply.ok()) << reason;
    EXPECT_EQ(reply->mOutcome, cell::StartOutcome::NotStarted);
    EXPECT_EQ(reply->mClock, 5);
  }
}

TEST(KvCodec, ParsesItemsAndChanges)
{
  const auto entry = ParseEntry(
    R"({"Key":"my/leader","Value":"bm9kZS0x","Revision":412,"Created":1,
        "Lease":77120,"CurrentRev":530})");
  ASSERT_TRUE(entry.ok());
  EXPECT_EQ(entry->mValue, "node-1");
  EXPECT_EQ(entry->mModRevision, 412);
  EXPECT_EQ(entry->mLease, 77120);
  EXPECT_EQ(entry->mStoreRevision, 530);
  const auto changes = ParseChanges(
    R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":412},
        {"Key":"b","Revision":413,"Tombstone":true}],"CurrentRev":413})");
  ASSERT_TRUE(changes.ok());
  EXPECT_EQ(changes->mRevision, 413);
  ASSERT_EQ(changes->mEvents.size(), 2U);
  EXPECT_EQ(changes->mEvents[0].mValue, "node-1");
  EXPECT_FALSE(changes->mEvents[1].mValue.has_value());
}

TEST(KvCodec, FormatsATransaction)
{
  StoreTransaction transaction;
  transaction.mCompares = { { "k", 0 } };
  transaction.mWrites = { { "k", "node-1", 5 }, { "old", std::nullopt } };
  EXPECT_EQ(FormatTransaction(transaction),
            R"({"Deletes":["old"],"Expect":[{"Key":"k","Revision":0}],)"
            R"("Writes":[{"Key":"k","Lease":5,"Value":"bm9kZS0x"}]})");
}

class BadChanges : public testing::TestWithParam<const char*>
{};

TEST_P(BadChanges, AreErrors)
{
  EXPECT_FALSE(ParseChanges(GetParam()).ok());
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadChanges,
  testing::Values("",
                  "{}",
                  R"({"events":[]})",
                  R"({"events":{},"CurrentRev":1})",
                  R"({"events":[{"Value":"!"}],"CurrentRev":1})",
                  R"({"events":[],"CurrentRev":-1})"));

TEST(ConfigurationCodec, ParsesLimitsOfRequests)
{
  const auto configuration = ParseConfiguration(
    R"({"Version":7,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,
        "HeaderTimeoutMs":3000,"IdleTimeoutMs":9223372036854775807}})");
  ASSERT_TRUE(configuration.ok());
  EXPECT_EQ(configuration->mMaxHeaderBytes, 16384U);
  EXPECT_EQ(configuration->mMaxBodyBytes, 262144U);
  EXPECT_EQ(configuration->mHeaderTimeout, std::chrono::seconds(3));
  EXPECT_EQ(configuration->mIdleTimeout, std::chrono::hours(24));
}

TEST(ConfigurationCodec, ParsesRoutes)
{
  const auto configuration = ParseConfiguration(
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/",
        "Kind":"unsafe","TimeoutMs":3000,"SloMs":250,"Priority":2,
        "Service":"s","Attempts":3,"Stretch":1.5}],
        "Services":[{"Name":"s","EnforcesCapacity":true}],
        "Limits":{"MaxBodyBytes":262144}})");
  ASSERT_TRUE(configuration.ok());
  EXPECT_EQ(configuration->mVersion, 7);
  EXPECT_EQ(configuration->mMaxBodyBytes, 262144U);
  ASSERT_EQ(configuration->mRoutes.size(), 1U);
  const cell::QueuePolicy& policy = configuration->mRoutes[0].mPolicy;
  EXPECT_EQ(policy.mService, ServiceId("s"));
  EXPECT_EQ(policy.mPriority, 2);
  EXPECT_EQ(policy.mAttempts, 3);
  EXPECT_EQ(policy.mStretch, 1.5);
  EXPECT_TRUE(policy.mWorkersGuard);
}

/// A value beyond our limits made the whole configuration unreadable, and no
/// scheduler that started with it served or led.
struct LargeValue
{
  const char* mName;
  const char* mRoute; ///< Fields of a route.
  std::function<bool(const cell::QueueRoute&)> mUsed;
};

class LargeConfiguration : public testing::TestWithParam<LargeValue>
{};

TEST_P(LargeConfiguration, IsUsedAsFarAsItCanBe)
{
  std::vector<std::string> notices;
  const auto configuration = ParseConfiguration(
    std::string(R"({"Version":7,"Routes":[{"Name":"r","Host":"h",)"
                R"("Prefix":"/p/","Service":"s",)") +
      GetParam().mRoute + R"(},{"Name":"t","Prefix":"/t/","Service":"s"}]})",
    notices);
  ASSERT_TRUE(configuration.ok()) << configuration.status();
  ASSERT_EQ(configuration->mRoutes.size(), 2U);
  EXPECT_TRUE(GetParam().mUsed(configuration->mRoutes[0]));
  EXPECT_EQ(notices.size(), 1U);
}

constexpr std::int32_t kLargest = std::numeric_limits<std::int32_t>::max();

INSTANTIATE_TEST_SUITE_P(
  Table,
  LargeConfiguration,
  testing::Values(
    LargeValue{ "Objective",
                R"("SloMs":9223372036854775807)",
                [](const auto& aRoute) {
                  return aRoute.mPolicy.mAllowance >= std::chrono::hours(48);
                } },
    LargeValue{ "ObjectiveBeyond64Bits",
                R"("SloMs":1e30)",
                [](const auto& aRoute) {
                  return aRoute.mPolicy.mAllowance >= std::chrono::hours(48);
                } },
    LargeValue{ "Timeout",
                R"("TimeoutMs":18446744073709551615)",
                [](const auto& aRoute) {
                  return aRoute.mTimeout >= std::chrono::hours(48);
                } },
    LargeValue{
      "Priority",
      R"("Priority":2147483648)",
      [](const auto& aRoute) { return aRoute.mPolicy.mPriority == kLargest; } },
    LargeValue{
      "Attempts",
      R"("Attempts":4294967297)",
      [](const auto& aRoute) { return aRoute.mPolicy.mAttempts == kLargest; } },
    LargeValue{
      "Stretch",
      R"("Stretch":1e300)",
      [](const auto& aRoute) { return aRoute.mPolicy.mStretch >= 1000.0; } },
    LargeValue{ "Advice",
                R"("Advice":{"DecideMs":5,"EachMs":1,"ValidMs":1e12})",
                [](const auto& aRoute) {
                  return aRoute.mPolicy.mAdvice->mTicketLifetime ==
                         std::chrono::hours(24);
                } },
    LargeValue{ "WrongType",
                R"("SloMs":"long")",
                [](const auto& aRoute) {
                  return aRoute.mPolicy.mAllowance == Duration::zero();
                } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(ConfigurationCodec, AnObjectiveOfTwoDaysIsUsedAsItIs)
{
  std::vector<std::string> notices;
  const auto configuration = ParseConfiguration(
    R"({"Version":7,"Routes":[{"Name":"r","Service":"s","SloMs":172800000,
        "Priority":2000000,"Attempts":2000000}]})",
    notices);
  ASSERT_TRUE(configuration.ok());
  const cell::QueuePolicy& policy = configuration->mRoutes[0].mPolicy;
  EXPECT_EQ(policy.mAllowance, std::chrono::hours(48));
  EXPECT_EQ(policy.mPriority, 2'000'000);
  EXPECT_EQ(policy.mAttempts, 2'000'000);
  EXPECT_TRUE(notices.empty());
}

/// Guards against one odd entry that takes its neighbours out of force.
TEST(ConfigurationCodec, ARouteOrServiceThatCannotBeReadIsLeftOut)
{
  std::vector<std::string> notices;
  const auto configuration = ParseConfiguration(
    R"({"Version":7,"Routes":[7,{"Name":["r"],"Service":"s"},{"Name":"t",
        "Prefix":"/t/","Service":"s"}],"Services":[[],{"Name":"s",
        "EnforcesCapacity":true},{"Name":{}}],"Limits":[],
        "Other":{"a":[1]}})",
    notices);
  ASSERT_TRUE(configuration.ok()) << configuration.status();
  ASSERT_EQ(configuration->mRoutes.size(), 1U);
  EXPECT_EQ(configuration->mRoutes[0].mPolicy.mQueue, cell::QueueId("t"));
  EXPECT_TRUE(configuration->mRoutes[0].mPolicy.mWorkersGuard);
  EXPECT_EQ(notices.size(), 5U);
}

TEST(WorkerHeartbeat, IsParsed)
{
  net::HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = "/runners/i-1";
  request.mBody =
    R"({"Service":"s","Zone":"z","State":"draining","DrainLeftMs":900,
        "Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":1},
        "Labels":["a","r1-3"],"CallSeq":4})";
  const auto message = ParseWorkerMessage(request);
  ASSERT_TRUE(message.ok());
  const auto& heartbeat = std::get<WorkerHeartbeat>(*message);
  EXPECT_EQ(heartbeat.mSequence, 4);
  EXPECT_EQ(heartbeat.mInfo.mIncarnation, cell::WorkerIncarnation("i-1"));
  EXPECT_EQ(heartbeat.mInfo.mRack, RackId("r1-3"));
  EXPECT_EQ(heartbeat.mInfo.mCapacity, (Resources{ 16000, 32768, 1 }));
  EXPECT_TRUE(heartbeat.mInfo.mDraining);
  EXPECT_EQ(heartbeat.mInfo.mDrainLeft, std::chrono::milliseconds(900));
}

TEST(WorkerHeartbeat, StatesWhenTheWorkerStarted)
{
  net::HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = "/runners/i-1";
  request.mBody =
    R"({"Service":"s","Zone":"z","State":"ready","CallSeq":1,
        "Capacity":{"Cpu":1,"MemMb":1},"born":1764793845123})";
  const auto message = ParseWorkerMessage(request);
  ASSERT_TRUE(message.ok());
  EXPECT_EQ(std::get<WorkerHeartbeat>(*message).mInfo.mIncarnation,
            cell::WorkerIncarnation("i-1", 1'764'793'845'123));
}

struct DeregistrationCase
{
  const char* mBody;
  std::optional<cell::WorkerIncarnation> mSender; ///< Empty: refused.
};

class Deregistrations : public testing::TestWithParam<DeregistrationCase>
{};

TEST_P(Deregistrations, MayStateWhenTheWorkerStarted)
{
  net::HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = "/runners/i-1";
  request.mBody = GetParam().mBody;
  const auto message = ParseWorkerMessage(request);
  ASSERT_EQ(message.ok(), GetParam().mSender.has_value());
  if (message.ok()) {
    EXPECT_EQ(std::get<WorkerDeregistration>(*message).mIncarnation,
              GetParam().mSender);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  Deregistrations,
  testing::Values(DeregistrationCase{ "", cell::WorkerIncarnation("i-1") },
                  DeregistrationCase{ "{}", cell::WorkerIncarnation("i-1") },
                  DeregistrationCase{ R"({"born":7})",
                                      cell::WorkerIncarnation("i-1", 7) },
                  DeregistrationCase{ R"({"born":-7})", std::nullopt },
                  DeregistrationCase{ "[", std::nullopt }));

class BadTimesOfStart : public testing::TestWithParam<const char*>
{};

TEST_P(BadTimesOfStart, AreRefused)
{
  const auto body = ParseObject(std::string(R"({"born":)") + GetParam() + "}");
  ASSERT_TRUE(body.ok());
  EXPECT_FALSE(ReadIncarnation(cell::WorkerId("i-1"), *body).ok());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadTimesOfStart,
                         testing::Values("-1",
                                         "1.5",
                                         "\"1764793845123\"",
                                         "1e300",
                                         "18446744073709551615",
                                         "253402300800000",
                                         "true",
                                         "[1]"));

struct HeartbeatCase
{
  const char* mMethod;
  const char* mTarget;
  const char* mBody;
};

class BadHeartbeats : public testing::TestWithParam<HeartbeatCase>
{};

TEST_P(BadHeartbeats, AreRefused)
{
  net::HttpRequest request;
  request.mMethod = GetParam().mMethod;
  request.mTarget = GetParam().mTarget;
  request.mBody = GetParam().mBody;
  EXPECT_FALSE(ParseWorkerMessage(request).ok());
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadHeartbeats,
  testing::Values(
    HeartbeatCase{ "PUT", "/other/i-1", "{}" },
    HeartbeatCase{ "GET", "/runners/i-1", "" },
    HeartbeatCase{ "PUT", "/runners/", "{}" },
    HeartbeatCase{ "PUT", "/runners/i-1", "[" },
    HeartbeatCase{ "PUT",
                   "/runners/i-1",
                   R"({"Service":"s","Zone":"z","State":"ready","CallSeq":1,
                       "Capacity":{"Cpu":1,"MemMb":1},"born":-1})" },
    HeartbeatCase{ "PUT", "/runners/i-1", R"({"Zone":1})" },
    HeartbeatCase{ "PUT", "/runners/i-1", R"({"Labels":[1]})" },
    HeartbeatCase{ "PUT", "/runners/i-1", R"({"Capacity":{"Cpu":-1}})" }));

} // namespace

} // namespace foxtailbarrow::platform::test
