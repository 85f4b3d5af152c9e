#pragma once

#include <chrono>

#include "foxtailbarrow/Time.h"

/// Timeouts of calls to the worker on the same machine.
namespace foxtailbarrow::taskagent {

/// For a start or stop, which takes milliseconds at a healthy worker. After it,
/// the order is settled instead.
inline constexpr Duration kOrderTimeout = std::chrono::milliseconds(250);
/// For a poll without a wait.
inline constexpr Duration kPollTimeout = std::chrono::milliseconds(300);

} // namespace foxtailbarrow::taskagent
