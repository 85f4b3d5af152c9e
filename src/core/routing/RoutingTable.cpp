#include "src/core/routing/RoutingTable.h"

#include <utility>

namespace foxtailbarrow {

namespace {

std::vector<DomainRange> IndexDomains(
  std::span<const RoutableAgentPointer> aAgents)
{
  std::vector<DomainRange> domains;
  for (std::size_t i = 0; i < aAgents.size(); ++i) {
    const FailureDomainId& domain = aAgents[i]->mFailureDomain;
    if (domains.empty() || domains.back().mFailureDomain != domain) {
      domains.push_back({ domain, i, i });
    }
    domains.back().mEnd = i + 1;
  }
  return domains;
}

} // namespace

std::span<const RoutableAgentPointer> ServiceTable::InDomain(
  const FailureDomainId& aDomain) const
{
  for (const DomainRange& range : mDomains) {
    if (range.mFailureDomain == aDomain) {
      return Routable().subspan(range.mBegin, range.mEnd - range.mBegin);
    }
  }
  return {};
}

const ServiceTable* RoutingTable::Find(const ServiceId& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : found->second.get();
}

std::shared_ptr<const ServiceTable> BuildServiceTable(
  ServiceId aService,
  std::vector<RoutableAgentPointer> aServing,
  std::vector<RoutableAgentPointer> aSuspect,
  std::vector<FormerAgent> aFormer,
  std::shared_ptr<ServiceHealth> aHealth)
{
  auto table = std::make_shared<ServiceTable>();
  table->mService = std::move(aService);
  table->mServing = std::move(aServing);
  table->mSuspect = std::move(aSuspect);
  table->mFormer = std::move(aFormer);
  table->mHealth = std::move(aHealth);
  table->mServingHashes.reserve(table->mServing.size());
  for (const RoutableAgentPointer& agent : table->mServing) {
    table->mServingHashes.push_back(agent->mHash);
  }
  table->mDomains = IndexDomains(table->Routable());
  table->mHealth->mAgents.store(
    static_cast<std::uint32_t>(table->Routable().size()),
    std::memory_order_relaxed);
  return table;
}

} // namespace foxtailbarrow
