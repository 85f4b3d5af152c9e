#pragma once

#include <string_view>

namespace foxtailbarrow {

inline constexpr std::string_view kIdTextAllowed =
  "1 to 63 characters of a-z, 0-9 and -";

/// True for a valid identifier in settings: [a-z0-9-]{1,63}.
bool IsIdText(std::string_view aText);

} // namespace foxtailbarrow
