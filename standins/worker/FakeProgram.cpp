#include "standins/worker/FakeProgram.h"

#include <memory>

#include "absl/strings/numbers.h"
#include <json/reader.h>
#include <json/value.h>

namespace foxtailbarrow::standin {

namespace {

constexpr std::int64_t kDefaultRunMs = 1000;

std::optional<Json::Value> ParseObject(const std::string& aText)
{
  if (aText.empty()) {
    return Json::Value(Json::objectValue);
  }
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  const char* const begin = aText.data();
  if (!reader->parse(begin, begin + aText.size(), &value, nullptr) ||
      !value.isObject()) {
    return std::nullopt;
  }
  return value;
}

bool HasRightTypes(const Json::Value& aObject)
{
  return aObject.get("runMs", 0).isInt64() &&
         aObject.get("fail", false).isBool() &&
         aObject.get("usedMillicores", 0).isInt64() &&
         aObject.get("usedMemoryMb", 0).isInt64();
}

} // namespace

std::optional<FakeProgram> ParseFakeProgram(const TaskStart& aStart)
{
  const auto object = ParseObject(aStart.mArguments);
  if (!object || !HasRightTypes(*object)) {
    return std::nullopt;
  }
  FakeProgram program;
  program.mFail = object->get("fail", false).asBool();
  program.mUsed = aStart.mResources;
  if (object->isMember("usedMillicores")) {
    program.mUsed.mMillicores = (*object)["usedMillicores"].asInt64();
  }
  if (object->isMember("usedMemoryMb")) {
    program.mUsed.mMemoryMb = (*object)["usedMemoryMb"].asInt64();
  }
  const bool isEndless =
    aStart.mKind == JobKind::Standing && !object->isMember("runMs");
  if (!isEndless) {
    program.mRun = std::chrono::milliseconds(
      object->get("runMs", Json::Int64{ kDefaultRunMs }).asInt64());
  }
  return program;
}

std::string CheckpointText(const TaskKey& aKey, Duration aDone)
{
  return aKey.mJob.Value() + "/" + std::to_string(aKey.mEpoch) + "/" +
         std::to_string(aDone.count());
}

std::optional<Duration> ParseCheckpoint(const std::string& aText)
{
  const std::size_t slash = aText.rfind('/');
  std::int64_t micros = 0;
  if (slash == std::string::npos ||
      !absl::SimpleAtoi(aText.substr(slash + 1), &micros) || micros < 0) {
    return std::nullopt;
  }
  return Duration(micros);
}

} // namespace foxtailbarrow::standin
