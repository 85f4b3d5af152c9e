#pragma once

#include <variant>

#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// Limit the task to this fraction of its processors.
struct ThrottleBatch
{
  TaskKey mKey;
  double mFraction = 1.0;
};

/// Evict the task with a checkpoint, to restore the service's latency.
struct EvictBatch
{
  TaskKey mKey;
};

using ColocationAction = std::variant<ThrottleBatch, EvictBatch>;

} // namespace foxtailbarrow
