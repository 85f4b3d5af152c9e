#include "src/core/contract/ContractFilter.h"

namespace foxtailbarrow {

ContractFilter FilterFor(const Heartbeat& aHeartbeat)
{
  ContractFilter filter;
  filter.mService = aHeartbeat.mService;
  for (const TaskReport& report : aHeartbeat.mTasks) {
    if (!report.mStatus.mCustomer.Empty()) {
      filter.mTaskCustomers.insert(report.mStatus.mCustomer);
    }
  }
  return filter;
}

} // namespace foxtailbarrow
