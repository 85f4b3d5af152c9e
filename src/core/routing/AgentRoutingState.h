#pragma once

#include "src/core/routing/AgentHealth.h"
#include "src/core/routing/LoadEstimator.h"

namespace foxtailbarrow {

/// Mutable state that an entry keeps about one agent incarnation. Shared by all
/// routing tables that list the incarnation, so that the state survives a
/// change of table.
struct AgentRoutingState
{
  LoadEstimator mLoad;
  AgentHealth mHealth;
};

} // namespace foxtailbarrow
