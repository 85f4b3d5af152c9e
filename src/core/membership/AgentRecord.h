#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/membership/AgentPhase.h"
#include "src/core/routing/AgentRoutingState.h"
#include "src/core/routing/RoutableAgent.h"

namespace foxtailbarrow {

/// State of one agent in the directory: its newest heartbeat, without the
/// tasks, and values derived from it.
struct AgentRecord
{
  AgentId mAgent;
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Endpoint mEndpoint;
  ServiceId mService;
  RackId mRack;
  FailureDomainId mFailureDomain;
  ServingState mState = ServingState::Starting;
  LoadReport mLoad;
  Revision mConfiguration = 0;

  AgentPhase mPhase = AgentPhase::Starting;
  Instant mHeartbeatAt{};
  Duration mInterval{}; ///< Learned interval of its heartbeats.
  std::shared_ptr<AgentRoutingState> mRoutingState;

  /// Its entry in routing tables; null while it gets no requests.
  RoutableAgentPointer mRoutable;
};

} // namespace foxtailbarrow
