#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/routing/RoutableAgent.h"
#include "src/core/routing/ServiceHealth.h"

namespace foxtailbarrow {

/// The agents of one failure domain: a range of ServiceTable::Routable().
struct DomainRange
{
  FailureDomainId mFailureDomain;
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
};

/// An agent incarnation that got requests until recently. Callers may retry the
/// requests with an idempotency key that were sent to it.
struct FormerAgent
{
  RoutableAgentPointer mAgent;
  Instant mRoutableUntil{};
  bool mReachable = false; ///< Draining: it can still be asked.
};

/// The agents of one service. Immutable.
struct ServiceTable
{
  ServiceId mService;
  std::vector<RoutableAgentPointer> mServing; ///< By failure domain, then id.
  std::vector<std::uint64_t> mServingHashes;  ///< In the order of mServing.
  std::vector<DomainRange> mDomains;          ///< Ranges of Routable().
  std::vector<RoutableAgentPointer> mSuspect; ///< Silent; used if none serves.
  std::vector<FormerAgent> mFormer;
  std::shared_ptr<ServiceHealth> mHealth;

  /// The agents that get requests: the serving ones, or, when there are none,
  /// the suspect ones.
  std::span<const RoutableAgentPointer> Routable() const
  {
    return mServing.empty() ? mSuspect : mServing;
  }

  /// Routable agents in the failure domain; empty when there are none.
  std::span<const RoutableAgentPointer> InDomain(
    const FailureDomainId& aDomain) const;
};

/// All services at one point in time. Immutable; published to the request path
/// by a Snapshot<RoutingTable>.
class RoutingTable
{
public:
  using Services =
    absl::flat_hash_map<ServiceId, std::shared_ptr<const ServiceTable>>;

  RoutingTable() = default;
  explicit RoutingTable(Services aServices)
    : mServices(std::move(aServices))
  {
  }

  /// Null when the service is unknown.
  const ServiceTable* Find(const ServiceId& aService) const;

  const Services& All() const { return mServices; }

private:
  Services mServices;
};

/// Builds an indexed table. Agents must be sorted by failure domain, then id.
std::shared_ptr<const ServiceTable> BuildServiceTable(
  ServiceId aService,
  std::vector<RoutableAgentPointer> aServing,
  std::vector<RoutableAgentPointer> aSuspect,
  std::vector<FormerAgent> aFormer,
  std::shared_ptr<ServiceHealth> aHealth);

} // namespace foxtailbarrow
