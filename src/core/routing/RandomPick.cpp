#include "src/core/routing/RandomPick.h"

#include <algorithm>
#include <cstddef>

#include "absl/random/uniform_int_distribution.h"

namespace foxtailbarrow {

const RoutableAgent* RandomPick::Pick(const PickContext& aContext,
                                      absl::BitGenRef aRandom) const
{
  const auto agents = aContext.mService.Routable();
  if (agents.empty()) {
    return nullptr;
  }
  absl::uniform_int_distribution<std::size_t> draw(0, agents.size() - 1);
  const std::size_t first = draw(aRandom);
  for (std::size_t i = 0; i < agents.size(); ++i) {
    const auto& agent = *agents[(first + i) % agents.size()];
    if (!aContext.IsExcluded(agent)) {
      return &agent;
    }
  }
  return nullptr;
}

} // namespace foxtailbarrow
