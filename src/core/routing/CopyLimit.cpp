#include "src/core/routing/CopyLimit.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace foxtailbarrow {

namespace {

using Agents = std::vector<RoutableAgentPointer>;

/// The first `aCount` agents by id, in the order of a service table.
Agents FirstById(Agents aAgents, std::size_t aCount)
{
  std::ranges::sort(aAgents, {}, [](const RoutableAgentPointer& aAgent) {
    return aAgent->mAgent;
  });
  aAgents.resize(std::min(aAgents.size(), aCount));
  std::ranges::sort(aAgents, {}, [](const RoutableAgentPointer& aAgent) {
    return std::pair(aAgent->mFailureDomain, aAgent->mAgent);
  });
  return aAgents;
}

std::shared_ptr<const ServiceTable> Limited(const ServiceTable& aService,
                                            const ServiceId& aName,
                                            std::size_t aCopies)
{
  Agents serving = FirstById(aService.mServing, aCopies);
  Agents suspect =
    FirstById(aService.mSuspect, aCopies - std::min(aCopies, serving.size()));
  // Agents keep the health of their full service; that of this one is not
  // evaluated.
  return BuildServiceTable(aName,
                           std::move(serving),
                           std::move(suspect),
                           aService.mFormer,
                           std::make_shared<ServiceHealth>());
}

} // namespace

ServiceId LimitedService(const ServiceId& aService, const CustomerId& aCustomer)
{
  // Ids do not contain '#', so no other service has this name.
  return ServiceId(aService.Value() + "#" + aCustomer.Value());
}

std::shared_ptr<const RoutingTable> LimitCopies(
  std::shared_ptr<const RoutingTable> aTable,
  std::span<const CopyAllowance> aAllowances)
{
  RoutingTable::Services services = aTable->All();
  bool isLimited = false;
  for (const auto& [customer, service, copies] : aAllowances) {
    const ServiceTable* whole = aTable->Find(service);
    const auto allowed = static_cast<std::size_t>(std::max(copies, 0));
    if (whole == nullptr ||
        whole->mServing.size() + whole->mSuspect.size() <= allowed) {
      continue;
    }
    const ServiceId name = LimitedService(service, customer);
    services[name] = Limited(*whole, name, allowed);
    isLimited = true;
  }
  if (!isLimited) {
    return aTable;
  }
  return std::make_shared<const RoutingTable>(std::move(services));
}

} // namespace foxtailbarrow
