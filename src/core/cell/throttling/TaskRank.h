#pragma once

#include <cstdint>

#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// Position of a throttled best-effort task among those of its worker when
/// throttles are raised; the lowest comes first.
struct TaskRank
{
  TaskRef mTask;
  std::int32_t mRank = 0;
};

} // namespace foxtailbarrow::cell
