#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace foxtailbarrow {

/// Half-open range of keys in byte order: mBegin <= key < mEnd.
struct KeyRange
{
  std::string mBegin;
  std::optional<std::string> mEnd; ///< No value: unbounded.

  bool Contains(std::string_view aKey) const;

  /// The range of exactly one key.
  static KeyRange Single(std::string_view aKey);

  /// The range of every key that starts with `aPrefix`; all keys when empty.
  static KeyRange Prefix(std::string_view aPrefix);
};

} // namespace foxtailbarrow
