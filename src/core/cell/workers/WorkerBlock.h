#pragma once

#include <cstdint>
#include <string_view>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/workers/WorkerEntry.h"

namespace foxtailbarrow::cell {

/// Why a worker takes no new task, whatever the task is.
enum class WorkerBlock : std::uint8_t
{
  None,
  // Until the worker or the operator says otherwise.
  Unknown,  ///< Its agent has had no heartbeat of it.
  Draining, ///< It will leave.
  Cordoned, ///< The operator wants no start in its failure domain.
  // For the time being.
  Detached,     ///< Its agent has no session.
  Silent,       ///< It does not answer its agent.
  AwaitsReport, ///< It shrank; its new capacity is not reported yet.
  Unhealthy,    ///< It refused a start and has not answered since.
  ForeignTasks, ///< It runs tasks that belong to no job of this owner.
  FailsTasks,   ///< All its recent tasks failed.
  NoGrant,      ///< Its agent has no grant for leases.
  /// The record of its agent is closed and must be written again first.
  RecordClosed,
};

std::string_view ToString(WorkerBlock aBlock);

/// The blocks that outlast a query to the service that chooses workers.
WorkerBlock LastingBlockOf(const WorkerEntry& aWorker);

WorkerBlock BlockOf(const WorkerEntry& aWorker, Instant aNow);

} // namespace foxtailbarrow::cell
