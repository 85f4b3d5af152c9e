#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// A decision of the scheduler and its reason, for the log.
struct CellDecision
{
  std::string_view mEvent{}; ///< For example "task-start".
  JobId mJob{};
  std::string mTask{}; ///< Empty for a decision on the whole job.
  AgentId mAgent{};    ///< Empty for a decision that concerns no worker.
  RunNumber mRun = 0;
  std::string_view mReason{};
  std::int64_t mAgeMs = 0; ///< Age of the input that it is based on.
};

using DecisionSink = std::function<void(const CellDecision&)>;

} // namespace foxtailbarrow::cell
