#include "src/platform/store/GatewayJson.h"

#include <exception>
#include <memory>

#include <json/reader.h>
#include <json/writer.h>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

namespace foxtailbarrow::etcd {

namespace {

constexpr int kMaxNesting = 32;

absl::string_view ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::unique_ptr<Json::CharReader> MakeReader()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxNesting;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

bool Parse(std::string_view aText, Json::Value& aValue, std::string& aErrors)
{
  // JsonCpp throws on input that is nested too deeply.
  try {
    return MakeReader()->parse(
      aText.data(), aText.data() + aText.size(), &aValue, &aErrors);
  } catch (const std::exception& failure) {
    aErrors = failure.what();
    return false;
  }
}

} // namespace

absl::StatusOr<Json::Value> ParseObject(std::string_view aText)
{
  Json::Value value;
  std::string errors;
  if (!Parse(aText, value, errors)) {
    return absl::InvalidArgumentError("malformed JSON: " + errors);
  }
  if (!value.isObject()) {
    return absl::InvalidArgumentError("malformed JSON: not an object");
  }
  return value;
}

std::string WriteLine(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value EncodeBytes(std::string_view aBytes)
{
  return absl::Base64Escape(ToAbsl(aBytes));
}

std::optional<std::string> DecodeBytes(const Json::Value& aField)
{
  std::string bytes;
  if (aField.isNull()) {
    return bytes;
  }
  if (!aField.isString() || !absl::Base64Unescape(aField.asString(), &bytes)) {
    return std::nullopt;
  }
  return bytes;
}

Json::Value EncodeInteger(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

std::optional<std::int64_t> DecodeInteger(const Json::Value& aField)
{
  if (aField.isNull()) {
    return 0;
  }
  if (aField.isInt64()) {
    return aField.asInt64();
  }
  std::int64_t number = 0;
  if (!aField.isString() || !absl::SimpleAtoi(aField.asString(), &number)) {
    return std::nullopt;
  }
  return number;
}

} // namespace foxtailbarrow::etcd
