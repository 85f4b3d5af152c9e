#include "src/core/cell/throttling/ThrottleCause.h"

namespace foxtailbarrow::cell {

std::string_view ToString(ThrottleReason aReason)
{
  switch (aReason) {
    case ThrottleReason::Interferes:
      return "pressed";
    case ThrottleReason::LongOver:
      return "long-over";
    case ThrottleReason::TooLongOver:
      return "too-long-over";
    case ThrottleReason::HasHeadroom:
      return "room-again";
  }
  return "unknown";
}

} // namespace foxtailbarrow::cell
