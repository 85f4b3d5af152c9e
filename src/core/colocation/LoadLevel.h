#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace foxtailbarrow {

/// Latencies are compared only within a load level: the fraction of slots in
/// use, in quarters.
inline constexpr std::size_t kLoadLevels = 4;

inline std::size_t LoadLevelOf(std::int32_t aInUse, std::int32_t aSlots)
{
  const std::int64_t quarter =
    (std::int64_t{ aInUse } * static_cast<std::int64_t>(kLoadLevels) - 1) /
    std::max(1, aSlots);
  return static_cast<std::size_t>(
    std::clamp<std::int64_t>(quarter, 0, kLoadLevels - 1));
}

} // namespace foxtailbarrow
