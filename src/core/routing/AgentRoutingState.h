#pragma once

#include "src/core/routing/AgentHealth.h"
#include "src/core/routing/LoadEstimator.h"

namespace foxtailbarrow {

/// The changing part of what an entry knows of one agent incarnation. Shared by
/// all routing tables that list it, so a new table loses nothing.
struct AgentRoutingState
{
  LoadEstimator mLoad;
  AgentHealth mHealth;
};

} // namespace foxtailbarrow
