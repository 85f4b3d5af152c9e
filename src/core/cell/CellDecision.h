#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// One decision of the scheduler with what it rests on, for the log.
struct CellDecision
{
  std::string_view mEvent{}; ///< For example "task-start".
  JobId mJob{};
  std::string mTask{}; ///< Empty when it concerns the whole job.
  AgentId mAgent{};    ///< Empty when no worker is concerned.
  RunNumber mRun = 0;
  std::string_view mReason{};
  std::int64_t mAgeMs = 0; ///< Of the input that decided it.
};

using DecisionSink = std::function<void(const CellDecision&)>;

} // namespace foxtailbarrow::cell
