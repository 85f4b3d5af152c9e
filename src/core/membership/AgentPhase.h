#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailbarrow {

/// State of an agent as determined by an entry.
enum class AgentPhase : std::uint8_t
{
  Starting, ///< Registered, accepts nothing yet.
  Serving,
  Suspect,  ///< Missed heartbeats; gets requests only if no other serves.
  Draining, ///< Gets no new work.
  Gone,     ///< No heartbeat for long, or replaced at its address.
};

std::string_view ToString(AgentPhase aPhase);

} // namespace foxtailbarrow
