#include "src/net/Rpc.h"

#include <json/reader.h>
#include <json/writer.h>

#include "src/net/rpcshim/RpcShim.h"
#include "tests/net/NetFixture.h"

// Must be included after <gtest/gtest.h>.
#include <rapidcheck/gtest.h>

namespace foxtailbarrow::net {
namespace {

absl::StatusOr<Json::Value> EchoParams(const Json::Value& aParams)
{
  return aParams;
}

absl::StatusOr<Json::Value> Fail(const Json::Value&)
{
  return WithVerdict(absl::AbortedError("not today"), Verdict::NotRun);
}

absl::StatusOr<Json::Value> Throw(const Json::Value& aParams)
{
  return Json::Value(aParams["text"].asInt());
}

class RpcTest : public NetTest
{
protected:
  RpcTest()
  {
    mDispatcher.Add("echo", EchoParams);
    mDispatcher.Add("fail", Fail);
    mDispatcher.Add("throw", Throw);
  }

  Endpoint StartRpc()
  {
    return StartServer(
      [this](HttpRequest& aRequest) { return mDispatcher.Handle(aRequest); });
  }

  absl::StatusOr<Json::Value> CallRpc(const Endpoint& aEndpoint,
                                      std::string_view aMethod,
                                      const Json::Value& aParams)
  {
    absl::StatusOr<Json::Value> result;
    mRuntime.RunAndWait([&] {
      result =
        RpcClient(mClient).Call(aEndpoint, aMethod, aParams, kTestTimeout);
    });
    return result;
  }

  RpcDispatcher mDispatcher;
};

TEST_F(RpcTest, CarriesParamsAndResult)
{
  Json::Value params(Json::objectValue);
  params["number"] = Json::Int64(1) << 60;
  params["text"] = "Rozliczenia \xc4\x85 \"quoted\"\n";
  params["list"].append(1.5);
  const auto result = CallRpc(StartRpc(), "echo", params);
  ASSERT_TRUE(result.ok()) << result.status();
  // As text, since jsoncpp compares numbers of different types as unequal.
  EXPECT_EQ(params.toStyledString(), result->toStyledString());
}

struct StatusCase
{
  const char* mMethod;
  absl::StatusCode mCode;
  Verdict mVerdict;
};

class RpcStatusTest
  : public RpcTest
  , public testing::WithParamInterface<StatusCase>
{};

TEST_P(RpcStatusTest, ReachesTheCaller)
{
  Json::Value params(Json::objectValue);
  params["text"] = "no number";
  const auto result = CallRpc(StartRpc(), GetParam().mMethod, params);
  EXPECT_EQ(GetParam().mCode, result.status().code()) << result.status();
  EXPECT_EQ(GetParam().mVerdict, VerdictOf(result.status()));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  RpcStatusTest,
  testing::Values(
    StatusCase{ "fail", absl::StatusCode::kAborted, Verdict::NotRun },
    StatusCase{ "none", absl::StatusCode::kUnimplemented, Verdict::NotRun },
    StatusCase{ "throw", absl::StatusCode::kInternal, Verdict::MayHaveRun }));

TEST_F(RpcTest, OversizeParamsAreNotRun)
{
  Json::Value params(Json::objectValue);
  params["text"] = std::string(2'000'000, 'x');
  const auto result = CallRpc(StartRpc(), "echo", params);
  EXPECT_EQ(absl::StatusCode::kResourceExhausted, result.status().code());
  EXPECT_EQ(Verdict::NotRun, VerdictOf(result.status())) << result.status();
}

RC_GTEST_PROP(RpcNesting, MatchesGeneratedDepth, ())
{
  const int depth = *rc::gen::inRange(0, 2 * rpcshim::kMaxNesting);
  Json::Value value = *rc::gen::arbitrary<std::string>();
  for (int level = 0; level < depth; ++level) {
    Json::Value outer;
    if (*rc::gen::arbitrary<bool>()) {
      outer.append(value);
    } else {
      outer[*rc::gen::arbitrary<std::string>()] = value;
    }
    value = outer;
  }
  RC_ASSERT(rpcshim::IsUnsafeToParse(Json::FastWriter().write(value)) ==
            (depth > rpcshim::kMaxNesting));
}

struct TextCase
{
  std::string mText;
  int mCode; ///< Code of the error object.
};

std::string Nested(int aDepth)
{
  return std::string(static_cast<std::size_t>(aDepth), '[') +
         std::string(static_cast<std::size_t>(aDepth), ']');
}

void PrintTo(const TextCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.mText.substr(0, 80);
}

/// The error object of a response or of a batch with one response.
const Json::Value& ErrorOf(const Json::Value& aAnswer)
{
  return aAnswer.isArray() ? aAnswer[0]["error"] : aAnswer["error"];
}

/// Small values, over a hundred times as large in memory.
std::string ManyValues(std::size_t aCount)
{
  std::string text = "[0";
  for (std::size_t i = 1; i < aCount; ++i) {
    text += ",0";
  }
  return text + "]";
}

class RpcTextTest
  : public RpcTest
  , public testing::WithParamInterface<TextCase>
{};

TEST_P(RpcTextTest, IsAnsweredWithAnErrorObject)
{
  const Endpoint endpoint = StartRpc();
  const auto response =
    Call(endpoint, { "POST", "/rpc", {}, GetParam().mText });
  ASSERT_TRUE(response.ok()) << response.status();
  Json::Value answer;
  ASSERT_TRUE(Json::Reader().parse(response->mBody, answer)) << response->mBody;
  EXPECT_EQ(GetParam().mCode, ErrorOf(answer)["code"].asInt())
    << response->mBody;
  EXPECT_TRUE(CallRpc(endpoint, "echo", Json::Value(Json::objectValue)).ok());
}

const std::string kEchoCall =
  R"({"jsonrpc":"2.0","id":1,"method":"echo","params":)";

INSTANTIATE_TEST_SUITE_P(
  Table,
  RpcTextTest,
  testing::Values(
    TextCase{ kEchoCall + ManyValues(rpcshim::kMaxValues) + "}", -32700 },
    TextCase{ "", -32700 },
    TextCase{ "{", -32700 },
    TextCase{ "no json", -32700 },
    TextCase{ std::string("\0\xff", 2), -32700 },
    TextCase{ R"({"jsonrpc":"2.0","id":1,"method":"ec)", -32700 },
    TextCase{ Nested(64), -32600 },
    TextCase{ Nested(65), -32700 },
    TextCase{ Nested(900), -32700 },
    TextCase{ Nested(100'000), -32700 },
    TextCase{ R"(/* " */)" + Nested(900), -32700 },
    TextCase{ R"(["\")" + Nested(900), -32700 },
    TextCase{ kEchoCall + Nested(900) + "}", -32700 },
    TextCase{ "[]", -32600 },
    TextCase{ "5", -32600 },
    TextCase{ "null", -32600 },
    TextCase{ R"("text")", -32600 },
    TextCase{ "{}", -32600 },
    TextCase{ R"({"jsonrpc":"1.0","id":1,"method":"echo"})", -32600 },
    TextCase{ R"({"jsonrpc":"2.0","id":1,"method":5})", -32600 },
    TextCase{ R"({"jsonrpc":"2.0","id":{},"method":"echo"})", -32600 },
    TextCase{ R"({"jsonrpc":"2.0","id":1,"method":"none"})", -32601 },
    TextCase{ kEchoCall + "5}", -32600 },
    TextCase{ kEchoCall + "[1]}", -32602 },
    TextCase{ kEchoCall + "\"text\"}", -32600 },
    TextCase{ R"({"jsonrpc":"2.0","method":"echo","params":{}})", -32604 }));

TEST_F(RpcTest, AnswersOtherHttpMethods405)
{
  const auto response = Call(StartRpc(), { "GET", "/rpc", {}, "" });
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(405U, response->mStatus);
}

struct AnswerCase
{
  const char* mName;
  HttpResponse mResponse;
  absl::StatusCode mCode;
};

class RpcAnswerTest
  : public RpcTest
  , public testing::WithParamInterface<AnswerCase>
{};

TEST_P(RpcAnswerTest, WithoutAResultIsAnError)
{
  const Endpoint endpoint =
    StartServer([](HttpRequest&) { return GetParam().mResponse; });
  const auto result = CallRpc(endpoint, "echo", Json::Value(Json::objectValue));
  EXPECT_EQ(GetParam().mCode, result.status().code()) << result.status();
  EXPECT_EQ(Verdict::MayHaveRun, VerdictOf(result.status()));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  RpcAnswerTest,
  testing::Values(
    AnswerCase{ "empty", { 200, {}, "" }, absl::StatusCode::kInternal },
    AnswerCase{ "no JSON", { 200, {}, "<html>" }, absl::StatusCode::kInternal },
    AnswerCase{ "number", { 200, {}, "5" }, absl::StatusCode::kInternal },
    AnswerCase{ "list", { 200, {}, "[]" }, absl::StatusCode::kInternal },
    AnswerCase{ "no result", { 200, {}, "{}" }, absl::StatusCode::kInternal },
    AnswerCase{ "odd error",
                { 200, {}, R"({"jsonrpc":"2.0","id":1,"error":{"code":"x"}})" },
                absl::StatusCode::kInternal },
    AnswerCase{ "deep",
                { 200, {}, Nested(100'000) },
                absl::StatusCode::kInternal },
    AnswerCase{ "unavailable",
                { 503, {}, "" },
                absl::StatusCode::kUnavailable }));

} // namespace
} // namespace foxtailbarrow::net
