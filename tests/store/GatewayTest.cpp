#include <string>

#include <gtest/gtest.h>

#include "src/net/HttpClient.h"
#include "src/platform/store/GatewayJson.h"
#include "standins/store/Gateway.h"
#include "tests/store/NamedCase.h"

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

TEST_P(GatewayRefuses, MalformedRequestsAndKeepsServing)
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

constexpr char kPut[] = "/v3/kv/put";
constexpr char kRange[] = "/v3/kv/range";
constexpr char kTxn[] = "/v3/kv/txn";
constexpr char kGrant[] = "/v3/lease/grant";
constexpr char kKeepAlive[] = "/v3/lease/keepalive";
constexpr char kRevoke[] = "/v3/kv/lease/revoke";
constexpr char kFaults[] = "/standin/faults";
const std::string kLargePut =
  R"({"key":"YQ==","value":")" + std::string(1'500'000, 'A') + R"("})";
const std::string kDeleteRange = R"({"success":[{"request_delete_range":
  {"key":"YQ==","range_end":"Yg=="}}]})";

INSTANTIATE_TEST_SUITE_P(
  Requests,
  GatewayRefuses,
  testing::Values(
    BadRequest{ "Empty", kPut, "" },
    BadRequest{ "Truncated", kPut, R"({"key":"YQ==)" },
    BadRequest{ "Trailing", kPut, R"({"key":"YQ=="} x)" },
    BadRequest{ "NotAnObject", kRange, "[1]" },
    BadRequest{ "Binary", kRange, "\xff\x01" },
    BadRequest{ "TooDeep", kRange, Nested() },
    BadRequest{ "Twice", kPut, R"({"key":"YQ==","key":"Yg=="})" },
    BadRequest{ "NoKey", kPut, R"({"value":"YQ=="})" },
    BadRequest{ "NotBase64", kPut, R"({"key":"%%%"})" },
    BadRequest{ "KeyNotText", kRange, R"({"key":7})" },
    BadRequest{ "ValueNotText", kPut, R"({"key":"YQ==","value":{}})" },
    BadRequest{ "NegativeLimit", kRange, R"({"key":"YQ==","limit":"-1"})" },
    BadRequest{ "HugeRevision", kRange, R"({"key":"YQ==","revision":"9e99"})" },
    BadRequest{ "Future", kRange, R"({"key":"YQ==","revision":"99"})" },
    BadRequest{ "OnValue",
                kTxn,
                R"({"compare":[{"key":"YQ==","target":"VALUE"}]})" },
    BadRequest{ "NotAList", kTxn, R"({"compare":{}})" },
    BadRequest{ "Unknown", kTxn, R"({"success":[{"request_move":{}}]})" },
    BadRequest{ "DeleteRange", kTxn, kDeleteRange },
    BadRequest{ "Failure",
                kTxn,
                R"({"failure":[{"request_put":{"key":"YQ=="}}]})" },
    BadRequest{ "ZeroTtl", kGrant, R"({"TTL":"0"})" },
    BadRequest{ "LeaseText", kKeepAlive, R"({"ID":"abc"})" },
    BadRequest{ "NoLease", kRevoke, R"({"ID":"9"})", 404 },
    BadRequest{ "NoTarget", "/v3/auth/enable", "{}", 404 },
    BadRequest{ "TooLarge", kPut, kLargePut },
    BadRequest{ "NoFault", kFaults, R"({"outrage":true})" },
    BadRequest{ "FaultType", kFaults, R"({"outage":"yes"})" },
    BadRequest{ "Negative", kFaults, R"({"delayMs":-1})" }),
  kNameOfCase);

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
