#include <string>

#include <gtest/gtest.h>

#include "src/net/HttpClient.h"
#include "src/platform/store/GatewayJson.h"
#include "standins/store/Gateway.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

struct GatewayFixture
{
  net::HttpResponse Send(std::string aMethod,
                         std::string aTarget,
                         std::string aBody)
  {
    net::HttpRequest request;
    request.mMethod = std::move(aMethod);
    request.mTarget = std::move(aTarget);
    request.mBody = std::move(aBody);
    net::HttpResponse response;
    mRuntime.RunAndWait([&] {
      response =
        mClient.Call(mGateway->ListeningEndpoint(), request, 20s).value();
    });
    return response;
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mStore;
  std::unique_ptr<Gateway> mGateway =
    Gateway::Start(mRuntime, mStore, { "127.0.0.1", 0 }).value();
  net::HttpClient mClient{ mRuntime };
};

struct BadRequest
{
  const char* mName;
  const char* mTarget;
  std::string mBody;
  unsigned mStatus = 400;
};

std::string Nested()
{
  return R"({"key":)" + std::string(5000, '[') + std::string(5000, ']') + "}";
}

class GatewayRefuses
  : public GatewayFixture
  , public testing::TestWithParam<BadRequest>
{};

TEST_P(GatewayRefuses, WhatIsMalformedAndLivesOn)
{
  const auto& [name, target, body, status] = GetParam();
  const net::HttpResponse response = Send("POST", target, body);
  EXPECT_EQ(response.mStatus, status) << response.mBody;
  const auto error = etcd::ParseObject(response.mBody);
  ASSERT_TRUE(error.ok()) << response.mBody;
  EXPECT_FALSE((*error)["error"].asString().empty());
  EXPECT_EQ(mStore.LatestRevision(), 1);
  EXPECT_EQ(Send("POST", "/v3/kv/range", R"({"key":"YQ=="})").mStatus, 200U);
}

const std::string kLargePut =
  R"({"key":"YQ==","value":")" + std::string(1'500'000, 'A') + R"("})";

INSTANTIATE_TEST_SUITE_P(
  Requests,
  GatewayRefuses,
  testing::Values(
    BadRequest{ "Empty", "/v3/kv/txn", "" },
    BadRequest{ "Truncated", "/v3/kv/put", R"({"key":"YQ==)" },
    BadRequest{ "Trailing", "/v3/kv/put", R"({"key":"YQ=="} x)" },
    BadRequest{ "NotAnObject", "/v3/kv/range", "[1]" },
    BadRequest{ "Binary", "/v3/kv/range", std::string("\xff\x00\x01", 3) },
    BadRequest{ "TooDeep", "/v3/kv/range", Nested() },
    BadRequest{ "RepeatedMember",
                "/v3/kv/put",
                R"({"key":"YQ==","key":"Yg=="})" },
    BadRequest{ "NoKey", "/v3/kv/put", R"({"value":"YQ=="})" },
    BadRequest{ "KeyNotBase64", "/v3/kv/put", R"({"key":"%%%"})" },
    BadRequest{ "KeyNotText", "/v3/kv/range", R"({"key":7})" },
    BadRequest{ "ValueNotText", "/v3/kv/put", R"({"key":"YQ==","value":{}})" },
    BadRequest{ "NegativeLimit",
                "/v3/kv/range",
                R"({"key":"YQ==","limit":"-1"})" },
    BadRequest{ "HugeRevision",
                "/v3/kv/range",
                R"({"key":"YQ==","revision":"99999999999999999999"})" },
    BadRequest{ "FutureRevision",
                "/v3/kv/range",
                R"({"key":"YQ==","revision":"99"})" },
    BadRequest{
      "CompareOnValue",
      "/v3/kv/txn",
      R"({"compare":[{"key":"YQ==","target":"VALUE","value":"YQ=="}]})" },
    BadRequest{ "CompareNotAList", "/v3/kv/txn", R"({"compare":{}})" },
    BadRequest{ "UnknownOperation",
                "/v3/kv/txn",
                R"({"success":[{"request_move":{}}]})" },
    BadRequest{
      "DeleteOfARange",
      "/v3/kv/txn",
      R"({"success":[{"request_delete_range":{"key":"YQ==","range_end":"Yg=="}}]})" },
    BadRequest{ "FailureBranch",
                "/v3/kv/txn",
                R"({"failure":[{"request_put":{"key":"YQ=="}}]})" },
    BadRequest{ "ZeroTtl", "/v3/lease/grant", R"({"TTL":"0"})" },
    BadRequest{ "LeaseNotANumber", "/v3/lease/keepalive", R"({"ID":"abc"})" },
    BadRequest{ "UnknownLease", "/v3/kv/lease/revoke", R"({"ID":"9"})", 404 },
    BadRequest{ "UnknownTarget", "/v3/auth/enable", "{}", 404 },
    BadRequest{ "ValueTooLarge", "/v3/kv/put", kLargePut },
    BadRequest{ "UnknownFault", "/standin/faults", R"({"outrage":true})" },
    BadRequest{ "FaultOfAWrongType", "/standin/faults", R"({"outage":"yes"})" },
    BadRequest{ "NegativeFault", "/standin/faults", R"({"delayMs":-1})" }),
  [](const auto& aInfo) { return aInfo.param.mName; });

class GatewaySwitches
  : public GatewayFixture
  , public testing::Test
{};

TEST_F(GatewaySwitches, ChangeOnlyTheFaultsNamed)
{
  EXPECT_EQ(Send("POST", "/standin/faults", R"({"loseReplies":2})").mStatus,
            200U);
  const auto response =
    Send("POST", "/standin/faults", R"({"outage":true,"delayMs":5})");
  EXPECT_EQ(response.mStatus, 200U) << response.mBody;
  const StoreFaults faults = mStore.Faults();
  EXPECT_TRUE(faults.mOutage);
  EXPECT_EQ(faults.mDelay, Duration(5ms));
  EXPECT_EQ(faults.mLoseReplies, 2U);
}

TEST_F(GatewaySwitches, CountCallsByKindAlsoInAnOutage)
{
  Send("POST", "/v3/kv/range", R"({"key":"YQ=="})");
  Send("POST", "/v3/kv/range", R"({"key":"YQ==","range_end":"Yg=="})");
  Send("POST", "/v3/kv/put", R"({"key":"YQ=="})");
  Send("POST", "/v3/kv/put", "{");
  Send("POST", "/standin/faults", R"({"outage":true})");
  const auto counters =
    etcd::ParseObject(Send("GET", "/standin/counters", "").mBody);
  ASSERT_TRUE(counters.ok());
  EXPECT_EQ((*counters)["calls"]["read"], 1);
  EXPECT_EQ((*counters)["calls"]["list"], 1);
  EXPECT_EQ((*counters)["calls"]["commit"], 1);
  EXPECT_EQ((*counters)["total"], 3);
  EXPECT_EQ((*counters)["malformed"], 1);
}

} // namespace
} // namespace foxtailbarrow
