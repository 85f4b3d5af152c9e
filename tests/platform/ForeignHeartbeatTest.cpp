#include <functional>
#include <string>

#include <gtest/gtest.h>
#include <json/value.h>
#include <rapidcheck.h>

#include "platform/WorkerHeartbeat.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::platform::test {

namespace {

Json::Value ValidBody()
{
  Json::Value body;
  body["Service"] = "s";
  body["Addr"] = "10.0.0.1:80";
  body["Zone"] = "z";
  body["Version"] = "v1";
  body["Slots"] = 8;
  body["State"] = "ready";
  body["ColdLeftMs"] = 0;
  body["Capacity"]["Cpu"] = 16000;
  body["Capacity"]["MemMb"] = 32768;
  body["Capacity"]["Gpu"] = 0;
  body["Labels"].append("a");
  body["Labels"].append("r1-3");
  body["ClockMs"] = 482113;
  body["CallSeq"] = 4;
  return body;
}

absl::StatusOr<WorkerMessage> Parse(const std::string& aBody)
{
  net::HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = "/runners/i-1";
  request.mBody = aBody;
  return ParseWorkerMessage(request);
}

TEST(ForeignHeartbeat, AcceptsTheFormatOfTheWorker)
{
  EXPECT_TRUE(Parse(FormatJson(ValidBody())).ok());
}

/// Fields that a worker may omit.
class OptionalField : public testing::TestWithParam<const char*>
{};

TEST_P(OptionalField, MayBeAbsent)
{
  Json::Value body = ValidBody();
  body.removeMember(GetParam());
  EXPECT_TRUE(Parse(FormatJson(body)).ok());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         OptionalField,
                         testing::Values("Addr",
                                         "Version",
                                         "Slots",
                                         "ColdLeftMs",
                                         "Labels",
                                         "ClockMs"));

/// Change of one field that makes a heartbeat invalid.
struct FieldMutation
{
  const char* mName;
  std::function<void(Json::Value&, const char*)> mApply;
  bool mAppliesToOptional = true; ///< Otherwise only to required fields.
};

void PrintTo(const FieldMutation& aMutation, std::ostream* aOut)
{
  *aOut << aMutation.mName;
}

template<typename Value>
std::function<void(Json::Value&, const char*)> SetTo(Value aValue)
{
  return [aValue](Json::Value& aBody, const char* aField) {
    aBody[aField] = aValue;
  };
}

const char* const kRequired[] = { "Service",
                                  "Zone",
                                  "State",
                                  "CallSeq",
                                  "Capacity" };
const char* const kOptional[] = { "Addr",       "Version", "Slots",
                                  "ColdLeftMs", "Labels",  "ClockMs" };

class MutatedField : public testing::TestWithParam<FieldMutation>
{};

TEST_P(MutatedField, IsRefused)
{
  const auto refused = [](const char* aField) {
    Json::Value body = ValidBody();
    GetParam().mApply(body, aField);
    const auto message = Parse(FormatJson(body));
    EXPECT_TRUE(absl::IsInvalidArgument(message.status()))
      << aField << ": " << message.status();
  };
  for (const char* field : kRequired) {
    refused(field);
  }
  if (GetParam().mAppliesToOptional) {
    for (const char* field : kOptional) {
      refused(field);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  MutatedField,
  testing::Values(
    FieldMutation{ "Missing",
                   [](Json::Value& aBody, const char* aField) {
                     aBody.removeMember(aField);
                   },
                   false },
    FieldMutation{ "Null", SetTo(Json::Value()), false },
    FieldMutation{ "Flag", SetTo(true) },
    FieldMutation{ "Object", SetTo(Json::Value(Json::objectValue)) },
    FieldMutation{ "Negative", SetTo(-1) },
    FieldMutation{ "Beyond64Bits", SetTo(1e30) },
    FieldMutation{ "Fraction", SetTo(0.5), false },
    FieldMutation{ "EmptyText", SetTo(""), false },
    FieldMutation{ "Array", SetTo(Json::Value(Json::arrayValue)), false },
    FieldMutation{ "LongText", SetTo(std::string(1'000'000, 'x')) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct WholeBody
{
  const char* mName;
  std::string mBody;
};

void PrintTo(const WholeBody& aBody, std::ostream* aOut)
{
  *aOut << aBody.mName;
}

std::string Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string body = FormatJson(ValidBody());
  body.replace(body.find(aFrom), aFrom.size(), aTo);
  return body;
}

std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

class ForeignBody : public testing::TestWithParam<WholeBody>
{};

TEST_P(ForeignBody, IsRefused)
{
  EXPECT_TRUE(absl::IsInvalidArgument(Parse(GetParam().mBody).status()));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ForeignBody,
  testing::Values(
    WholeBody{ "Empty", "" },
    WholeBody{ "NotAnObject", "[1]" },
    WholeBody{ "Truncated", FormatJson(ValidBody()).substr(0, 60) },
    WholeBody{ "NotUtf8", Replaced("\"s\"", "\"\xff\"") },
    WholeBody{ "UnknownState", Replaced("\"ready\"", "\"resting\"") },
    WholeBody{ "Nested", Nested(10'000) },
    WholeBody{ "NestedField", Replaced("\"z\"", Nested(10'000)) },
    WholeBody{ "FarSequence", Replaced("\"CallSeq\":4", "\"CallSeq\":9e18") },
    WholeBody{ "NoProcessors", Replaced("\"Cpu\":16000,", "") },
    WholeBody{ "MemoryAsText", Replaced("32768", "\"32768\"") }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(ForeignHeartbeat, AcceptedRandomChangesStillHaveTheRequiredFields)
{
  const std::string valid = FormatJson(ValidBody());
  rc::check([&valid] {
    std::string body = valid;
    const int changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes; ++change) {
      const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
      body[at] = *rc::gen::arbitrary<char>();
    }
    const auto message = Parse(body);
    if (!message.ok()) {
      return;
    }
    const auto& heartbeat = std::get<WorkerHeartbeat>(*message);
    RC_ASSERT(!heartbeat.mInfo.mService.Empty());
    RC_ASSERT(!heartbeat.mInfo.mFailureDomain.Empty());
    RC_ASSERT(heartbeat.mSequence >= 0);
    RC_ASSERT(heartbeat.mInfo.mCapacity.mMillicores >= 0);
    RC_ASSERT(heartbeat.mInfo.mCapacity.mMemoryMb >= 0);
  });
}

} // namespace

} // namespace foxtailbarrow::platform::test
