#pragma once

#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Endpoint.h"
#include "src/core/trace/RequestAudit.h"
#include "src/core/trace/TaskAudit.h"
#include "src/net/HttpClient.h"

/// Queries the platform's stand-ins for what really ran.
namespace foxtailbarrow::replay {

/// Number of executions by request id, over all backend servers.
absl::StatusOr<ExecutionCounts> ReadExecutions(
  net::HttpClient& aClient,
  std::span<const Endpoint> aBackends);

/// Task runs of all workers and the number of capacity violations.
struct WorkerRecords
{
  std::vector<TaskRun> mRuns;
  std::int64_t mOvercommitted = 0;
};

absl::StatusOr<WorkerRecords> ReadWorkers(net::HttpClient& aClient,
                                          std::span<const Endpoint> aWorkers);

/// Derives the runs from the list of events of a worker. Exposed for tests.
absl::StatusOr<std::vector<TaskRun>> RunsOf(const Json::Value& aEvents);

} // namespace foxtailbarrow::replay
