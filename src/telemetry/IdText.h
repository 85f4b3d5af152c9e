#pragma once

#include <string_view>

namespace foxtailbarrow {

inline constexpr std::string_view kIdTextAllowed =
  "1 to 63 characters of a-z, 0-9 and -";

/// True for an identifier as operators may choose it: [a-z0-9-]{1,63}.
bool IsIdText(std::string_view aText);

} // namespace foxtailbarrow
