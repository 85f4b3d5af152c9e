#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include <json/value.h>

namespace foxtailbarrow {

inline constexpr int kDefaultMaxDepth = 32;
inline constexpr std::size_t kDefaultMaxValues = std::size_t{ 512 } * 1024;

/// Bounds of a JSON text that ParseJson() accepts.
struct JsonLimits
{
  std::size_t mMaxBytes = std::size_t{ 4 } * 1024 * 1024;
  int mMaxDepth = kDefaultMaxDepth; ///< Nested arrays and objects.
  /// Bounds the memory that parsing takes; see JsonShape.
  std::size_t mMaxValues = kDefaultMaxValues;
};

/// Reads one JSON object or array. Strict: no trailing text, no duplicate keys,
/// no NaN or infinity, valid UTF-8 only; comments between the members of an
/// object are skipped by the library. InvalidArgument names the line and
/// column, or the bound that was exceeded.
absl::StatusOr<Json::Value> ParseJson(std::string_view aText,
                                      JsonLimits aLimits = {});

/// One line without spaces, non-ASCII characters as they are. Doubles keep
/// every digit that is needed to read the same value back.
std::string FormatJson(const Json::Value& aValue);

/// Several indented lines, for human readers.
std::string FormatJsonIndented(const Json::Value& aValue);

/// True when every byte belongs to a valid UTF-8 sequence.
bool IsUtf8(std::string_view aText);

} // namespace foxtailbarrow
