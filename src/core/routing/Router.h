#pragma once

#include <memory>
#include <variant>

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/routing/Choice.h"
#include "src/core/routing/KeyedPick.h"
#include "src/core/routing/LeastLoadedPick.h"
#include "src/core/routing/PickRequest.h"
#include "src/core/routing/RandomPick.h"
#include "src/core/routing/RoundRobinPick.h"
#include "src/core/routing/RoutingTable.h"

namespace foxtailbarrow {

using RoutingPolicy = std::variant<LeastLoadedPick, RandomPick, RoundRobinPick>;

/// Picks the backend server for a request. Inputs: a routing table, the
/// request, the time and random bits. Output: an agent, or a refusal.
/// Thread-safe.
///
/// Guarantees: never picks an agent that is draining, lost or excluded; the
/// least-loaded policy never picks one that is full, and an ejected one only as
/// a probe. The cost of a pick does not grow with the number of agents, except
/// for keyed requests that are not idempotent (KeyedPick).
class Router
{
public:
  explicit Router(FailureDomainId aOwnDomain,
                  RoutingPolicy aPolicy = LeastLoadedPick(),
                  KeyedPick aKeyed = KeyedPick());

  Choice Pick(const std::shared_ptr<const RoutingTable>& aTable,
              const PickRequest& aRequest,
              Instant aNow,
              absl::BitGenRef aRandom) const;

private:
  Choice PickAny(const std::shared_ptr<const RoutingTable>& aTable,
                 const PickContext& aContext,
                 absl::BitGenRef aRandom) const;

  Choice PickKeyed(const std::shared_ptr<const RoutingTable>& aTable,
                   const PickContext& aContext,
                   absl::BitGenRef aRandom) const;

  FailureDomainId mOwnDomain;
  RoutingPolicy mPolicy;
  KeyedPick mKeyed;
};

} // namespace foxtailbarrow
