#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

#include "absl/random/bit_gen_ref.h"

#include "src/core/routing/PickContext.h"

namespace foxtailbarrow {

/// Baseline: picks the routable backend servers in turn. Copies share the
/// position.
class RoundRobinPick
{
public:
  const RoutableAgent* Pick(const PickContext& aContext,
                            absl::BitGenRef aRandom) const;

private:
  std::shared_ptr<std::atomic<std::size_t>> mNext =
    std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace foxtailbarrow
