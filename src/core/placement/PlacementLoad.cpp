#include "src/core/placement/PlacementLoad.h"

namespace foxtailbarrow {

namespace {

template<typename Map, typename Key, typename Amount>
void Subtract(Map& aMap, const Key& aKey, Amount aAmount)
{
  if (const auto found = aMap.find(aKey); found != aMap.end()) {
    found->second -= aAmount;
    if (found->second <= 0) {
      aMap.erase(found);
    }
  }
}

template<typename Map, typename Key>
typename Map::mapped_type Amount(const Map& aMap, const Key& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? typename Map::mapped_type{} : found->second;
}

} // namespace

void PlacementLoad::Add(const CustomerId& aCustomer,
                        WorkerSlot aSlot,
                        const WorkerInfo& aWorker,
                        const Resources& aSize)
{
  Load& load = mLoads[aCustomer];
  load.mMillicores[aSlot] += aSize.mMillicores;
  ++load.mRacks[aWorker.mRack];
  ++load.mDomains[aWorker.mFailureDomain];
}

void PlacementLoad::Remove(const CustomerId& aCustomer,
                           WorkerSlot aSlot,
                           const WorkerInfo& aWorker,
                           const Resources& aSize)
{
  const auto found = mLoads.find(aCustomer);
  if (found == mLoads.end()) {
    return;
  }
  Load& load = found->second;
  Subtract(load.mMillicores, aSlot, aSize.mMillicores);
  Subtract(load.mRacks, aWorker.mRack, 1);
  Subtract(load.mDomains, aWorker.mFailureDomain, 1);
  if (load.mRacks.empty()) {
    mLoads.erase(found);
  }
}

std::int64_t PlacementLoad::Millicores(const CustomerId& aCustomer,
                                       WorkerSlot aSlot) const
{
  const auto found = mLoads.find(aCustomer);
  return found == mLoads.end() ? 0 : Amount(found->second.mMillicores, aSlot);
}

int PlacementLoad::InRack(const CustomerId& aCustomer,
                          const RackId& aRack) const
{
  const auto found = mLoads.find(aCustomer);
  return found == mLoads.end() ? 0 : Amount(found->second.mRacks, aRack);
}

int PlacementLoad::InDomain(const CustomerId& aCustomer,
                            const FailureDomainId& aDomain) const
{
  const auto found = mLoads.find(aCustomer);
  return found == mLoads.end() ? 0 : Amount(found->second.mDomains, aDomain);
}

} // namespace foxtailbarrow
