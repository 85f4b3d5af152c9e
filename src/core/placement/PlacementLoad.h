#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// Counts each customer's jobs: processors by worker, number of jobs by rack
/// and failure domain. Used for the share per worker and for spreading.
class PlacementLoad
{
public:
  void Add(const CustomerId& aCustomer,
           WorkerSlot aSlot,
           const WorkerInfo& aWorker,
           const Resources& aSize);
  void Remove(const CustomerId& aCustomer,
              WorkerSlot aSlot,
              const WorkerInfo& aWorker,
              const Resources& aSize);

  std::int64_t Millicores(const CustomerId& aCustomer, WorkerSlot aSlot) const;
  int InRack(const CustomerId& aCustomer, const RackId& aRack) const;
  int InDomain(const CustomerId& aCustomer,
               const FailureDomainId& aDomain) const;

private:
  struct Load
  {
    absl::flat_hash_map<WorkerSlot, std::int64_t> mMillicores;
    absl::flat_hash_map<RackId, int> mRacks;
    absl::flat_hash_map<FailureDomainId, int> mDomains;
  };

  absl::flat_hash_map<CustomerId, Load> mLoads;
};

} // namespace foxtailbarrow
