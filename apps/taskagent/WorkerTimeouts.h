#pragma once

#include <chrono>

#include "foxtailbarrow/Time.h"

/// Time-outs of calls to the worker on the same machine.
namespace foxtailbarrow::taskagent {

/// Of a start or stop at a healthy worker: milliseconds. Beyond this it is
/// settled instead of waited for.
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(250);
/// Of a look without a wait.
inline constexpr Duration kPollTimeout = std::chrono::milliseconds(300);

} // namespace foxtailbarrow::taskagent
