#pragma once

#include <cstdint>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/membership/AgentPhase.h"

namespace foxtailbarrow {

/// Effect of a heartbeat on the directory.
enum class HeartbeatEffect : std::uint8_t
{
  Added,     ///< The agent was unknown.
  Restarted, ///< New incarnation of a known agent.
  Updated,
  Outdated, ///< Not newer than the last one applied; ignored.
};

/// A change of an agent's phase, for the log.
struct MembershipEvent
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  AgentPhase mFrom = AgentPhase::Starting;
  AgentPhase mTo = AgentPhase::Starting;
};

} // namespace foxtailbarrow
