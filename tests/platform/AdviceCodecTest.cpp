#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/AdviceClient.h"
#include "platform/ConfigurationCodec.h"
#include "platform/WorkerCodec.h"

namespace foxtailbarrow::platform::test {

namespace {

using std::chrono::milliseconds;

const std::vector<cell::WorkerIncarnation> kWorkers{
  cell::WorkerIncarnation("i-1", 1'700'000),
  cell::WorkerIncarnation("i-2")
};
const cell::TaskRef kTask{ JobId("5c0e7a21d94b36f8"), 0, 1, 0 };

TEST(AdviceCodec, FormatsStepAndWorkersOfAQuery)
{
  EXPECT_EQ(FormatAdviceQuery({ kTask, kWorkers, {} }),
            R"({"Step":"5c0e7a21d94b36f8.0.1","Workers":["i-1","i-2"]})");
}

TEST(AdviceCodec, ParsesTickets)
{
  const auto reply = ParseAdvice(
    R"({"Granted":[["i-1","c81e"],["i-9","x"]],"ValidMs":3000,"New":1})",
    kWorkers);
  ASSERT_TRUE(reply.ok()) << reply.status();
  ASSERT_EQ(reply->mGranted.size(), 1U);
  EXPECT_EQ(reply->mGranted[0].mWorker, kWorkers[0]);
  EXPECT_EQ(reply->mGranted[0].mTicket, "c81e");
  EXPECT_EQ(reply->mTicketLifetime, milliseconds(3000));
}

class BadAdvice : public testing::TestWithParam<const char*>
{};

TEST_P(BadAdvice, IsRefused)
{
  EXPECT_FALSE(ParseAdvice(GetParam(), kWorkers).ok());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadAdvice,
                         testing::Values("",
                                         "[]",
                                         R"({"Granted":7})",
                                         R"({"Granted":[],"ValidMs":-1})",
                                         R"({"Granted":[],"ValidMs":"x"})"));

class OddGrants : public testing::TestWithParam<const char*>
{};

/// One row that could not be read hid the grants of all other workers.
TEST_P(OddGrants, AreLeftOut)
{
  const auto reply =
    ParseAdvice(std::string(R"({"ValidMs":1e300,"Granted":[)") + GetParam() +
                  R"(,["i-2","t"]]})",
                kWorkers);
  ASSERT_TRUE(reply.ok()) << reply.status();
  ASSERT_EQ(reply->mGranted.size(), 1U);
  EXPECT_EQ(reply->mGranted[0].mWorker, kWorkers[1]);
  EXPECT_EQ(reply->mGranted[0].mTicket, "t");
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  OddGrants,
  testing::Values(R"(["i-1"])",
                  R"(["i-1",7])",
                  "7",
                  "null",
                  R"(["i-1",1e999])",
                  "[\"i-1\xff\",\"t\"]",
                  R"(["i-1",[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[)"
                  R"([[[[[[[[[[]]]]]]]]]])"
                  R"(]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]])"));

TEST(AdviceCodec, AStartCarriesTheTicket)
{
  cell::StartCall call;
  call.mTask = kTask;
  EXPECT_EQ(FormatStart(call).find("Ticket"), std::string::npos);
  call.mTicket = "c81e";
  EXPECT_NE(FormatStart(call).find(R"("Ticket":"c81e")"), std::string::npos);
}

TEST(AdviceCodec, ARejectedTicketHasItsOwnOutcome)
{
  const auto reply = ParseRefusal(R"({"ClockMs":5,"Reason":"ticket"})");
  ASSERT_TRUE(reply.ok());
  EXPECT_EQ(reply->mOutcome, cell::StartOutcome::NoTicket);
}

TEST(AdviceCodec, AQueueHasTheTimesOfItsAdvisor)
{
  const auto configuration = ParseConfiguration(
    R"({"Version":1,"Routes":[
        {"Name":"a","Service":"s","Advice":{"DecideMs":40,"EachMs":5,"ValidMs":3000}},
        {"Name":"b","Service":"s"}]})");
  ASSERT_TRUE(configuration.ok()) << configuration.status();
  ASSERT_EQ(configuration->mRoutes.size(), 2U);
  EXPECT_EQ(configuration->mRoutes[0].mPolicy.mAdvice,
            (cell::AdvicePolicy{
              milliseconds(40), milliseconds(5), milliseconds(3000) }));
  EXPECT_FALSE(configuration->mRoutes[1].mPolicy.mAdvice);
}

} // namespace

} // namespace foxtailbarrow::platform::test
