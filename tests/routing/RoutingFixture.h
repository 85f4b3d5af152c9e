#pragma once

#include <random>
#include <string>
#include <vector>

#include "src/core/membership/AgentDirectory.h"
#include "src/core/routing/Router.h"

namespace foxtailbarrow::testing_support {

inline const ServiceId kService("trips");

/// Arbitrary fixed time: decisions depend only on differences.
inline constexpr Instant kStart{ std::chrono::hours(1) };

/// Heartbeat of agent `aNumber`: three to a rack, failure domains in turn.
inline Heartbeat HeartbeatOf(int aNumber,
                             ServingState aState = ServingState::Serving,
                             std::uint64_t aSequence = 1,
                             Incarnation aIncarnation = 1)
{
  const std::string number = std::to_string(aNumber);
  Heartbeat heartbeat;
  heartbeat.mAgent = AgentId("agent-" + number);
  heartbeat.mIncarnation = aIncarnation;
  heartbeat.mSequence = aSequence;
  heartbeat.mEndpoint = { "10.0.0." + number, 8080 };
  heartbeat.mService = kService;
  heartbeat.mRack = RackId("rack-" + std::to_string(aNumber / 3));
  heartbeat.mFailureDomain =
    FailureDomainId("domain-" + std::to_string(aNumber / 3 % 3));
  heartbeat.mState = aState;
  heartbeat.mLoad.mSlots = 8;
  return heartbeat;
}

/// A directory that received a heartbeat of `aCount` serving agents at kStart.
inline AgentDirectory DirectoryOf(int aCount, DirectorySettings aSettings = {})
{
  AgentDirectory directory(aSettings);
  for (int i = 0; i < aCount; ++i) {
    directory.Apply(HeartbeatOf(i), kStart);
  }
  return directory;
}

inline PickRequest RequestFor(const ServiceId& aService = kService)
{
  PickRequest request;
  request.mService = aService;
  return request;
}

} // namespace foxtailbarrow::testing_support
