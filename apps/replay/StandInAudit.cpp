#include "apps/replay/StandInAudit.h"

#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

#include "src/core/message/Json.h"

namespace foxtailbarrow::replay {

namespace {

constexpr char kExecutionsTarget[] = "/standin/executions/ids";
constexpr char kEventsTarget[] = "/standin/events";
constexpr char kCountsTarget[] = "/standin/counts";
constexpr Duration kCallTimeout = std::chrono::seconds(10);
constexpr unsigned kOk = 200;
constexpr std::size_t kMaxAuditBytes = std::size_t{ 64 } * 1024 * 1024;
constexpr JsonLimits kLimits{ .mMaxBytes = kMaxAuditBytes,
                              .mMaxValues = kMaxAuditBytes };

absl::StatusOr<Json::Value> Query(net::HttpClient& aClient,
                                  const Endpoint& aStandIn,
                                  const char* aTarget)
{
  net::HttpRequest request;
  request.mTarget = aTarget;
  const absl::StatusOr<net::HttpResponse> response =
    aClient.Call(aStandIn, request, kCallTimeout);
  if (!response.ok()) {
    return response.status();
  }
  if (response->mStatus != kOk) {
    return absl::UnavailableError(absl::StrCat(
      ToString(aStandIn), aTarget, ": status ", response->mStatus));
  }
  return ParseJson(response->mBody, kLimits);
}

/// Applies an event: a start opens a run, any other event ends it.
void AddEvent(const Json::Value& aEvent,
              std::map<std::string, TaskRun>& aOpen,
              std::vector<TaskRun>& aRuns)
{
  const std::string job = aEvent["job"].asString();
  const std::string key = absl::StrCat(job, "/", aEvent["epoch"].asUInt64());
  const Instant at{ Duration(aEvent["atUs"].asInt64()) };
  if (aEvent["kind"].asString() == "started") {
    aOpen[key] = TaskRun{ job, at, Instant::max() };
    return;
  }
  if (const auto open = aOpen.find(key); open != aOpen.end()) {
    open->second.mUntil = at;
    aRuns.push_back(std::move(open->second));
    aOpen.erase(open);
  }
}

} // namespace

absl::StatusOr<ExecutionCounts> ReadExecutions(
  net::HttpClient& aClient,
  std::span<const Endpoint> aBackends)
{
  ExecutionCounts counts;
  for (const Endpoint& backend : aBackends) {
    const absl::StatusOr<Json::Value> response =
      Query(aClient, backend, kExecutionsTarget);
    if (!response.ok()) {
      return response.status();
    }
    const Json::Value& runs = (*response)["runs"];
    if (!runs.isObject()) {
      return absl::InternalError(absl::StrCat(
        ToString(backend), ": response without runs by request id"));
    }
    for (const std::string& id : runs.getMemberNames()) {
      counts[id] += runs[id].asInt64();
    }
  }
  return counts;
}

absl::StatusOr<WorkerRecords> ReadWorkers(net::HttpClient& aClient,
                                          std::span<const Endpoint> aWorkers)
{
  WorkerRecords records;
  for (const Endpoint& worker : aWorkers) {
    const absl::StatusOr<Json::Value> events =
      Query(aClient, worker, kEventsTarget);
    if (!events.ok()) {
      return events.status();
    }
    const absl::StatusOr<std::vector<TaskRun>> runs = RunsOf(*events);
    if (!runs.ok()) {
      return runs.status();
    }
    records.mRuns.insert(records.mRuns.end(), runs->begin(), runs->end());
    const absl::StatusOr<Json::Value> counts =
      Query(aClient, worker, kCountsTarget);
    if (!counts.ok()) {
      return counts.status();
    }
    records.mOvercommitted += (*counts)["overcommitted"].asInt64();
  }
  return records;
}

absl::StatusOr<std::vector<TaskRun>> RunsOf(const Json::Value& aEvents)
{
  if (!aEvents.isArray()) {
    return absl::InternalError("the events of a worker are not a list");
  }
  std::map<std::string, TaskRun> open;
  std::vector<TaskRun> runs;
  for (const Json::Value& event : aEvents) {
    AddEvent(event, open, runs);
  }
  for (auto& [key, run] : open) {
    runs.push_back(std::move(run));
  }
  return runs;
}

} // namespace foxtailbarrow::replay
