#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

#include "apps/taskagent/OwnerLink.h"
#include "apps/taskagent/TaskAgentSettings.h"
#include "apps/taskagent/WorkerControl.h"
#include "platform/KvStore.h"
#include "platform/WorkerClient.h"
#include "platform/WorkerHeartbeat.h"
#include "src/core/base/SuspendDetector.h"
#include "src/core/cell/LogRateLimiter.h"
#include "src/core/cell/workers/HeartbeatOrder.h"
#include "src/net/FiberGroup.h"
#include "src/net/HttpServer.h"
#include "src/net/Rpc.h"
#include "src/telemetry/AdminPages.h"
#include "src/telemetry/ServerReports.h"

namespace foxtailbarrow::taskagent {

/// The agent process of one worker: receives its heartbeats, sends it the
/// owner's orders, and reports to the owner.
class TaskAgent
{
public:
  TaskAgent(TaskAgentSettings aSettings, net::FiberRuntime& aRuntime);
  ~TaskAgent();

  absl::Status Start();

private:
  net::HttpResponse ServeWorker(const net::HttpRequest& aRequest);
  net::HttpResponse ServeOwner(const net::HttpRequest& aRequest);
  net::HttpResponse ServeAdmin(const net::HttpRequest& aRequest);
  void OnWorkerMessage(const platform::WorkerHeartbeat& aHeartbeat);
  void OnWorkerMessage(const platform::WorkerDeregistration& aGone);
  /// After a suspension of the machine, reports at once to find out whether the
  /// session is still in force. Leases expire by the clock.
  void OnResume();
  /// Finishes a deregistration that awaits confirmation.
  void ConfirmDeregistration();
  void OnWorkerLeft();
  void OnForeignHeartbeat(std::string_view aSender, std::string_view aReason);
  void AddMethods();
  void AddCordonMethod();
  void AddViews();

  const TaskAgentSettings mSettings;
  net::FiberRuntime& mRuntime;
  platform::KvStore mStore;
  platform::WorkerClient mWorkerClient;
  net::HttpClient mClient;
  net::RpcClient mRpc;
  net::RpcDispatcher mDispatcher;
  WorkerControl mWorker;
  OwnerLink mOwner;
  Metrics mMetrics;
  StateDump mState;
  AdminPages mAdmin;
  cell::HeartbeatOrder mHeartbeats;
  /// Until when the end of the current incarnation is awaited.
  std::optional<Instant> mAwaitsEndUntil;
  cell::LogRateLimiter mForeignLogLimiter;
  std::int64_t mForeignHeartbeats = 0;
  std::unique_ptr<net::HttpServer> mWorkerServer;
  std::unique_ptr<net::HttpServer> mOwnerServer;
  std::unique_ptr<net::HttpServer> mAdminServer;
  ServerReports mServerReports{ mMetrics };
  Waker mServerReportWaker;
  Waker mPollWaker;
  SuspendDetector mResume;
  FiberGroup mFibers;
};

} // namespace foxtailbarrow::taskagent
