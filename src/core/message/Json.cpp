#include "src/core/message/Json.h"

#include <exception>
#include <memory>

#include <boost/locale/utf.hpp>
#include <json/reader.h>
#include <json/writer.h>

#include "src/core/message/JsonShape.h"

namespace foxtailbarrow {

namespace {

/// Significant digits with which every double reads back as itself.
constexpr int kDoubleDigits = 17;

Json::CharReaderBuilder StrictReader(int aMaxDepth)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = aMaxDepth;
  return builder;
}

/// Building the settings costs as much as parsing a small message, so those for
/// the default depth are cached.
std::unique_ptr<Json::CharReader> ReaderFor(int aMaxDepth)
{
  static const Json::CharReaderBuilder sDefault =
    StrictReader(kDefaultMaxDepth);
  return std::unique_ptr<Json::CharReader>(
    aMaxDepth == kDefaultMaxDepth ? sDefault.newCharReader()
                                  : StrictReader(aMaxDepth).newCharReader());
}

Json::StreamWriterBuilder WriterSettings(const char* aIndentation)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = aIndentation;
  builder["emitUTF8"] = true;
  builder["precision"] = kDoubleDigits;
  return builder;
}

absl::Status ParseError(const std::string& aReason)
{
  return absl::InvalidArgumentError("not acceptable as JSON: " + aReason);
}

} // namespace

bool IsUtf8(std::string_view aText)
{
  namespace utf = boost::locale::utf;
  auto position = aText.begin();
  while (position != aText.end()) {
    const utf::code_point point =
      utf::utf_traits<char>::decode(position, aText.end());
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

absl::StatusOr<Json::Value> ParseJson(std::string_view aText,
                                      JsonLimits aLimits)
{
  if (aText.size() > aLimits.mMaxBytes) {
    return ParseError("found " + std::to_string(aText.size()) +
                      " bytes, allowed at most " +
                      std::to_string(aLimits.mMaxBytes));
  }
  const std::size_t values =
    ShapeOfJson(aText.data(), aText.data() + aText.size()).mValues;
  if (values > aLimits.mMaxValues) {
    return ParseError("found " + std::to_string(values) +
                      " values, allowed at most " +
                      std::to_string(aLimits.mMaxValues));
  }
  if (!IsUtf8(aText)) {
    return ParseError("found bytes that are not UTF-8");
  }
  const std::unique_ptr<Json::CharReader> reader = ReaderFor(aLimits.mMaxDepth);
  Json::Value value;
  std::string errors;
  // JsonCpp throws when the nesting exceeds its limit.
  try {
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return ParseError(errors);
    }
  } catch (const std::exception& error) {
    return ParseError(std::string(error.what()) + " Allowed depth: " +
                      std::to_string(aLimits.mMaxDepth) + ".");
  }
  return value;
}

std::string FormatJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder sSettings = WriterSettings("");
  return Json::writeString(sSettings, aValue);
}

std::string FormatJsonIndented(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder sSettings = WriterSettings("  ");
  return Json::writeString(sSettings, aValue);
}

} // namespace foxtailbarrow
