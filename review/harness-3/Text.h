#pragma once

#include <string>

#include <json/value.h>

namespace review {

/// Null for a text that is not JSON.
Json::Value ParseJson(const std::string& aText);
std::string FormatJson(const Json::Value& aValue);
std::string EncodeBase64(const std::string& aBytes);
std::string DecodeBase64(const std::string& aText);

} // namespace review
