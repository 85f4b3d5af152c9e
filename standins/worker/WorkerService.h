#pragma once

#include <functional>
#include <mutex>

#include <json/value.h>

#include "src/net/HttpMessage.h"
#include "src/net/Rpc.h"
#include "standins/worker/TaskRunner.h"
#include "standins/worker/WorkerFaults.h"

namespace foxtailbarrow::standin {

/// Serves a TaskRunner: the worker's JSON-RPC methods at /rpc, and for tests
/// GET /standin/events, GET /standin/counts and POST /standin/faults.
/// Handle() may be called concurrently by several fibers and threads.
class WorkerService
{
public:
  explicit WorkerService(TaskRunnerSettings aSettings);

  /// Handler for HttpServer. Suspends the fiber while a reply is delayed.
  net::HttpResponse Handle(const net::HttpRequest& aRequest);

  /// Advances the tasks to the current time.
  void Tick();

private:
  using Method = std::function<absl::StatusOr<Json::Value>(const Json::Value&)>;

  void AddMethods();
  void Add(const char* aName, Method aMethod);
  net::HttpResponse HandleRpc(const net::HttpRequest& aRequest);
  net::HttpResponse SetFaults(const net::HttpRequest& aRequest);
  Json::Value EventsJson();
  Json::Value CountsJson();

  std::mutex mMutex; ///< Guards mRunner and mFaults.
  TaskRunner mRunner;
  WorkerFaults mFaults;
  net::RpcDispatcher mDispatcher;
};

} // namespace foxtailbarrow::standin
