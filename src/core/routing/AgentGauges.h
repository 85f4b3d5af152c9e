#pragma once

#include "src/core/routing/AgentHealth.h"
#include "src/core/routing/LoadGauge.h"

namespace foxtailbarrow {

/// The changing part of what an entry knows of one agent incarnation. Shared by
/// all routing tables that list it, so a new table loses nothing.
struct AgentGauges
{
  LoadGauge mLoad;
  AgentHealth mHealth;
};

} // namespace foxtailbarrow
