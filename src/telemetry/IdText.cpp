#include "src/telemetry/IdText.h"

#include <algorithm>
#include <cstddef>

namespace foxtailbarrow {

namespace {

constexpr std::size_t kMaxIdLength = 63;

bool IsIdCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-';
}

} // namespace

bool IsIdText(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         std::ranges::all_of(aText, IsIdCharacter);
}

} // namespace foxtailbarrow
