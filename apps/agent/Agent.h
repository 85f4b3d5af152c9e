#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "apps/agent/AgentSettings.h"
#include "apps/agent/BackendProbe.h"
#include "apps/agent/ColocationControl.h"
#include "apps/agent/Forwarder.h"
#include "apps/agent/HeartbeatSender.h"
#include "apps/agent/TaskControl.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/contract/ConfigurationFollower.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/net/Rpc.h"
#include "src/platform/worker/RpcWorker.h"
#include "src/telemetry/AdminPages.h"
#include "src/telemetry/Metrics.h"
#include "src/telemetry/ServerReports.h"
#include "src/telemetry/StateDump.h"

namespace foxtailbarrow {

/// The agent process: serves forwarded requests, control messages and admin
/// pages on one HTTP port.
///
/// Its state is Starting until the ledger has been rebuilt from the worker and
/// the backend server answers. It is Draining permanently after Drain(), and
/// while the backend server is leaving or unreachable, when tasks continue.
class Agent
{
public:
  /// Starts listening and all fibers. The runtime must outlive the agent.
  static absl::StatusOr<std::unique_ptr<Agent>> Start(
    AgentSettings aSettings,
    net::FiberRuntime& aRuntime);

  const Endpoint& ListeningEndpoint() const { return mEndpoint; }

  /// Refuses new work, checkpoints the tasks and notifies the entries at once.
  void Drain();

  /// True if a drained agent may exit: no request is in progress, and the
  /// entries have received the drain and acknowledged the end of every task, or
  /// no entry answers any more and all tasks have ended.
  bool Done() const;

  /// Stops listening and ends all fibers. Must not be called on a thread of the
  /// runtime.
  ~Agent();

  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  ServingState State() const;

private:
  Agent(AgentSettings aSettings, net::FiberRuntime& aRuntime);

  net::HttpResponse Handle(net::HttpRequest& aRequest);
  void AddMethods();
  void AddStateSources();
  void AddGauges();
  void Update();
  Revision AppliedConfiguration() const;
  void FillHeartbeat(Heartbeat& aHeartbeat);
  void ApplyReply(const Heartbeat& aSent, const HeartbeatReply& aReply);
  void ApplyConfiguration(const Heartbeat& aSent, const HeartbeatReply& aReply);
  absl::Status Health() const;
  Json::Value IdentityJson() const;

  const AgentSettings mSettings;
  const Incarnation mIncarnation;
  Metrics mMetrics;
  StateDump mState;
  AdminPages mPages;
  net::HttpClient mClient;
  RpcWorker mWorker;
  Forwarder mForwarder;
  TaskControl mTasks;
  ColocationControl mColocation;
  HeartbeatSender mHeartbeats;
  BackendProbe mProbe;
  net::RpcDispatcher mDispatcher;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::uint64_t> mDrainSequence{ 0 };
  std::atomic<ServingState> mServing{ ServingState::Starting };
  mutable std::mutex mConfigurationMutex; ///< Guards mConfiguration.
  ConfigurationFollower mConfiguration;
  Endpoint mEndpoint; ///< mServer listens on it.
  std::unique_ptr<net::HttpServer> mServer;
  ServerReports mServerReports{ mMetrics };
  Waker mServerReportWaker;
  FiberGroup mFibers;
};

} // namespace foxtailbarrow
