#include "src/core/routing/RoundRobinPick.h"

namespace foxtailbarrow {

const RoutableAgent* RoundRobinPick::Pick(const PickContext& aContext,
                                          absl::BitGenRef) const
{
  const auto agents = aContext.mService.Routable();
  for (std::size_t tries = 0; tries < agents.size(); ++tries) {
    const auto next = mNext->fetch_add(1, std::memory_order_relaxed);
    const RoutableAgent& agent = *agents[next % agents.size()];
    if (!aContext.IsExcluded(agent)) {
      return &agent;
    }
  }
  return nullptr;
}

} // namespace foxtailbarrow
