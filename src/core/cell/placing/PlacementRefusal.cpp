#include "src/core/cell/placing/PlacementRefusal.h"

namespace foxtailbarrow::cell {

std::string_view ToString(PlacementRefusal aRefusal)
{
  switch (aRefusal) {
    case PlacementRefusal::Unfit:
      return "unfit";
    case PlacementRefusal::NoFreeCapacity:
      return "no-room";
    case PlacementRefusal::StalledHere:
      return "stalled-here";
    case PlacementRefusal::OnTrial:
      return "on-trial";
    case PlacementRefusal::Full:
      return "full";
    case PlacementRefusal::Interferes:
      return "pressed";
    case PlacementRefusal::Crowded:
      return "crowded";
    case PlacementRefusal::BlockedByStalled:
      return "held-by-stalled";
  }
  return "unknown";
}

std::string_view ToString(const RefusalReason& aReason)
{
  return std::visit([](auto aCause) { return ToString(aCause); }, aReason);
}

} // namespace foxtailbarrow::cell
