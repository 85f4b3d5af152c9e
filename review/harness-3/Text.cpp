#include "Text.h"

#include <memory>

#include <json/reader.h>
#include <json/writer.h>

namespace review {

namespace {

constexpr char kDigits[] =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

Json::Value ParseJson(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(
        aText.data(), aText.data() + aText.size(), &value, &errors)) {
    return Json::nullValue;
  }
  return value;
}

std::string FormatJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

std::string EncodeBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const unsigned byte =
        i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0;
      group = (group << 8U) | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(
        i + j > aBytes.size() ? '=' : kDigits[(group >> (18 - 6 * j)) & 63U]);
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& aText)
{
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  const std::string digits = kDigits;
  for (const char character : aText) {
    const std::size_t digit = digits.find(character);
    if (digit == std::string::npos) {
      break;
    }
    group = (group << 6U) | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>((group >> bits) & 255U));
    }
  }
  return bytes;
}

} // namespace review
