#include "src/core/routing/LoadSnapshot.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace foxtailbarrow {

LoadSnapshot ToLoadSnapshot(const LoadReport& aReport)
{
  return { aReport.mSlotsInUse, aReport.mSlots, aReport.mWaiting };
}

std::string ToString(const LoadSnapshot& aLoad)
{
  return std::to_string(aLoad.mSlotsInUse) + '/' +
         std::to_string(aLoad.mSlots) + '/' + std::to_string(aLoad.mWaiting);
}

std::optional<LoadSnapshot> ParseLoadSnapshot(std::string_view aText)
{
  std::array<std::int32_t, 3> numbers{};
  const char* next = aText.data();
  const char* const end = next + aText.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && (next == end || *next++ != '/')) {
      return std::nullopt;
    }
    const auto [rest, error] = std::from_chars(next, end, numbers[i]);
    if (error != std::errc{} || numbers[i] < 0) {
      return std::nullopt;
    }
    next = rest;
  }
  if (next != end) {
    return std::nullopt;
  }
  return LoadSnapshot{ numbers[0], numbers[1], numbers[2] };
}

} // namespace foxtailbarrow
