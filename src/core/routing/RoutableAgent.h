#pragma once

#include <cstdint>
#include <memory>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/routing/AgentRoutingState.h"
#include "src/core/routing/ServiceHealth.h"

namespace foxtailbarrow {

/// An agent that requests can be routed to. Immutable except for mRoutingState
/// and mServiceHealth.
struct RoutableAgent
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  Endpoint mEndpoint;
  ServiceId mService;
  RackId mRack;
  FailureDomainId mFailureDomain;
  Instant mServingSince{}; ///< Start of its slow start.
  Instant mKnownSince{};   ///< For keys; the minimum in an entry's first view.
  std::uint64_t mHash = 0; ///< Of mAgent; the same in every process.
  std::shared_ptr<AgentRoutingState> mRoutingState;
  std::shared_ptr<ServiceHealth> mServiceHealth;
};

using RoutableAgentPointer = std::shared_ptr<const RoutableAgent>;

} // namespace foxtailbarrow
