#pragma once

#include <vector>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// An agent that had a record when a new owner took the cell over.
struct ExpectedAgent
{
  AgentId mAgent;
  /// The record lists every task that may run there; otherwise any may.
  bool mRecordClosed = false;
  std::vector<TaskRef> mTasks{}; ///< With a closed record.
};

} // namespace foxtailbarrow::cell
