#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// Load of a backend server as reported by its agent in heartbeats and in the
/// response header `Foxtailbarrow-Load`.
struct LoadSnapshot
{
  std::int32_t mSlotsInUse = 0;
  std::int32_t mSlots = 0;
  std::int32_t mWaiting = 0; ///< Admitted, not yet in a slot.

  bool operator==(const LoadSnapshot&) const = default;
};

LoadSnapshot ToLoadSnapshot(const LoadReport& aReport);

/// Value of the header `Foxtailbarrow-Load`: "slotsInUse/slots/waiting".
std::string ToString(const LoadSnapshot& aLoad);

/// Inverse of ToString(); nullopt for any other text or a negative number.
std::optional<LoadSnapshot> ParseLoadSnapshot(std::string_view aText);

} // namespace foxtailbarrow
