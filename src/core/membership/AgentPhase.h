#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailbarrow {

/// How an entry sees an agent.
enum class AgentPhase : std::uint8_t
{
  Starting, ///< Announced, takes nothing yet.
  Serving,
  Suspect,  ///< Silent; gets new work only when no other serves.
  Draining, ///< Gets no new work.
  Gone,     ///< Silent for long, or replaced at its address.
};

std::string_view ToString(AgentPhase aPhase);

} // namespace foxtailbarrow
