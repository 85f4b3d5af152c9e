#include <ostream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "foxtailbarrow/Messages.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow {
namespace {

using testing::HasSubstr;

constexpr char kHeartbeat[] =
  R"({"agent":"a1","incarnation":7,"sequence":1,)"
  R"("endpoint":{"address":"10.0.0.1","port":80},"service":"log","rack":"r",)"
  R"("failureDomain":"f","state":"serving",)"
  R"("load":{"slots":8,"slotsInUse":0,"waiting":0},"tasks":[{"shard":1,)"
  R"("status":{"key":{"job":"j","epoch":1},"state":"running"}}],)"
  R"("configuration":5})";

/// Replaces `mOld` in the valid heartbeat; the error must hold `mError`.
struct BadField
{
  const char* mOld;
  const char* mNew;
  const char* mError;

  friend std::ostream& operator<<(std::ostream& aOut, const BadField& aCase)
  {
    return aOut << aCase.mNew;
  }
};

class BadHeartbeat : public testing::TestWithParam<BadField>
{};

TEST_P(BadHeartbeat, IsRefusedWithFieldValueAndRange)
{
  ASSERT_TRUE(FromJsonText<Heartbeat>(kHeartbeat).ok());
  std::string text = kHeartbeat;
  const std::string old = GetParam().mOld;
  text.replace(text.find(old), old.size(), GetParam().mNew);
  const auto result = FromJsonText<Heartbeat>(text);
  ASSERT_FALSE(result.ok());
  EXPECT_EQ(result.status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_THAT(std::string(result.status().message()),
              HasSubstr(GetParam().mError));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadHeartbeat,
  testing::Values(
    BadField{ R"("a1")", "5", "agent: found 5, allowed 1..128 characters" },
    BadField{ R"("a1")", R"("")", R"(agent: found "")" },
    BadField{ R"("a1")", R"("a/b")", R"(agent: found "a/b")" },
    BadField{ R"("a1")", "null", "agent: found null" },
    BadField{ R"("agent":"a1",)", "", "agent: found nothing, allowed a value" },
    BadField{ R"("agent")", R"("agnt":1,"agent")", "agnt: found an unknown" },
    BadField{ "7", "-7", "incarnation: found -7, allowed integer 0..18446744" },
    BadField{ "7", "7.5", "incarnation: found 7.5" },
    BadField{ "7", "7.0", "incarnation: found 7.0" },
    BadField{ "7", "true", "incarnation: found true" },
    BadField{ "7", R"("7")", R"(incarnation: found "7")" },
    BadField{ "7", "18446744073709551616", "incarnation: found 1.844674407" },
    BadField{ "80", "0", "endpoint.port: found 0, allowed integer 1..65535" },
    BadField{ "80", "65536", "endpoint.port: found 65536" },
    BadField{ "10.0.0.1", "host", R"(endpoint.address: found "host")" },
    BadField{ R"({"address":"10.0.0.1","port":80})",
              "[]",
              "endpoint: found a list, allowed an object" },
    BadField{ "serving", "asleep", "allowed one of starting serving draining" },
    BadField{ R"("slots":8)", R"("slots":2147483648)", "load.slots: found" },
    BadField{ R"("epoch":1)",
              R"("epoch":-1)",
              "tasks[0].status.key.epoch: found -1" },
    BadField{ R"("state":"running")",
              R"("state":"running","reserved":{"memoryMb":1e3})",
              "tasks[0].status.reserved.memoryMb: found 1000" },
    BadField{ R"([{"shard":1,)", R"([3,{"shard":1,)", "tasks[0]: found 3" },
    BadField{ R"("configuration":5)",
              R"("configuration":9223372036854775808)",
              "configuration: found 9223372036854775808" }));

TEST(BadMessage, ReportsEveryProblemAtOnce)
{
  const auto result = FromJsonText<Revoke>(R"({"x":1,"request":2,"y":3})");
  const std::string text(result.status().message());
  EXPECT_THAT(text, HasSubstr("x: found an unknown field"));
  EXPECT_THAT(text, HasSubstr("y: found an unknown field"));
  EXPECT_THAT(text, HasSubstr("request: found 2"));
}

TEST(BadMessage, RefusesOversizeTextAndNumbersThatAreNotFinite)
{
  TaskStart start;
  start.mArguments.assign(16 * 1024 + 1, 'x');
  FieldProblems problems;
  DecodeJson<TaskStart>(ToJson(start), problems);
  EXPECT_THAT(ToString(problems.back()), HasSubstr("at most 16384 bytes"));
  Control control;
  control.mFraction = std::numeric_limits<double>::quiet_NaN();
  problems.clear();
  DecodeJson<Control>(ToJson(control), problems);
  EXPECT_THAT(std::string(ToStatus(problems).message()),
              HasSubstr("fraction: found a number that is not finite"));
}

struct BadText
{
  std::string mText;
  const char* mError;

  friend std::ostream& operator<<(std::ostream& aOut, const BadText& aCase)
  {
    return aOut << aCase.mError << aCase.mText.size();
  }
};

class BadJson : public testing::TestWithParam<BadText>
{};

TEST_P(BadJson, IsRefused)
{
  const auto result = ParseJson(GetParam().mText, { 100, 8, 20 });
  ASSERT_FALSE(result.ok());
  EXPECT_THAT(std::string(result.status().message()),
              HasSubstr(GetParam().mError));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadJson,
  testing::Values(BadText{ "", "not acceptable" },
                  BadText{ "7", "not acceptable" },
                  BadText{ R"({"a":1)", "Line 1" },
                  BadText{ R"({"a":1} x)", "Line 1" },
                  BadText{ R"({"a":1,"a":2})", "Duplicate key" },
                  BadText{ R"({"a":NaN})", "Line 1" },
                  BadText{ R"({"a":Infinity})", "Line 1" },
                  BadText{ R"({'a':1})", "Line 1" },
                  BadText{ "{\"a\":\"\xff\"}", "not UTF-8" },
                  BadText{ std::string(9, '[') + std::string(9, ']'),
                           "Allowed depth: 8" },
                  BadText{ "[[],[],[],[],[],[],[],[],[],[]]",
                           "found 21 values, allowed at most 20" },
                  BadText{ R"({"a":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,)"
                           R"(18,19]})",
                           "found 21 values, allowed at most 20" },
                  BadText{ std::string(101, ' '), "allowed at most 100" }));

TEST(JsonShape, CountsNothingInsideStrings)
{
  EXPECT_TRUE(ParseJson(R"(["a,,[{[{\",,,\\",2])", { 100, 8, 4 }).ok());
}

} // namespace
} // namespace foxtailbarrow
