#pragma once

#include <cstdint>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/membership/AgentPhase.h"

namespace foxtailbarrow {

/// What a heartbeat did to the directory.
enum class HeartbeatEffect : std::uint8_t
{
  Added,     ///< Agent unknown before.
  Restarted, ///< New incarnation of a known agent.
  Updated,
  Outdated, ///< Older than what is known; ignored.
};

/// A change of an agent's phase, worth a line in the log.
struct MembershipEvent
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  AgentPhase mFrom = AgentPhase::Starting;
  AgentPhase mTo = AgentPhase::Starting;
};

} // namespace foxtailbarrow
