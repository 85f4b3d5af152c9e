#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// How busy a backend server is, as its agent saw it when it sent this. Source:
/// heartbeats and the header `Foxtailbarrow-Load` of answers.
struct LoadSnapshot
{
  std::int32_t mSlotsInUse = 0;
  std::int32_t mSlots = 0;
  std::int32_t mWaiting = 0; ///< Admitted, not yet in a slot.

  bool operator==(const LoadSnapshot&) const = default;
};

LoadSnapshot ToLoadSnapshot(const LoadReport& aReport);

/// Text of the header `Foxtailbarrow-Load`: "slotsInUse/slots/waiting".
std::string ToString(const LoadSnapshot& aFigures);

/// Reverse of ToString(); nullopt for any other text or a negative number.
std::optional<LoadSnapshot> ParseLoadSnapshot(std::string_view aText);

} // namespace foxtailbarrow
