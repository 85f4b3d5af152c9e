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

/// Asks the platform's stand-ins what really ran.
namespace foxtailbarrow::replay {

/// Runs by request id, over all backend servers.
absl::StatusOr<ExecutionCounts> ReadExecutions(
  net::HttpClient& aClient,
  std::span<const Endpoint> aBackends);

/// What the workers did.
struct WorkerRecords
{
  std::vector<TaskRun> mRuns;
  std::int64_t mOvercommitted = 0;
};

absl::StatusOr<WorkerRecords> ReadWorkers(net::HttpClient& aClient,
                                          std::span<const Endpoint> aWorkers);

/// The runs told by one worker's list of events. Exposed for tests.
absl::StatusOr<std::vector<TaskRun>> RunsOf(const Json::Value& aEvents);

} // namespace foxtailbarrow::replay
