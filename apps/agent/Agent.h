#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "apps/agent/AgentSettings.h"
#include "apps/agent/BackendProbe.h"
#include "apps/agent/Forwarder.h"
#include "apps/agent/HeartbeatSender.h"
#include "apps/agent/TaskControl.h"
#include "foxtailbarrow/Messages.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/net/Rpc.h"
#include "src/platform/worker/RpcWorker.h"
#include "src/telemetry/AdminPages.h"
#include "src/telemetry/Metrics.h"
#include "src/telemetry/StateDump.h"

namespace foxtailbarrow {

/// The whole agent: one HTTP port for forwarded requests, control messages and
/// operators' pages, and the fibers behind it.
///
/// Its state is Starting until the ledger was rebuilt from the worker and the
/// backend server answers; Draining for good after Drain(), and for as long as
/// the backend server is leaving or gone, during which tasks stay.
class Agent
{
public:
  /// Listens and starts every fiber. The runtime must outlive the agent.
  static absl::StatusOr<std::unique_ptr<Agent>> Start(
    AgentSettings aSettings,
    net::FiberRuntime& aRuntime);

  const Endpoint& ListeningEndpoint() const { return mEndpoint; }

  /// Takes nothing new, checkpoints the tasks, and tells the entries at once.
  void Drain();

  /// True when a drained agent has nothing left to do: no request in progress,
  /// and entries have heard of it and acknowledged every task's end, or none of
  /// them answers any more.
  bool Done() const;

  /// Stops listening and ends every fiber. Not to be called by a thread of the
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
  void FillHeartbeat(Heartbeat& aHeartbeat);
  void ApplyReply(std::uint64_t aSequence, const HeartbeatReply& aReply);
  void ApplyConfiguration(const HeartbeatReply& aReply);
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
  HeartbeatSender mHeartbeats;
  BackendProbe mProbe;
  net::RpcDispatcher mDispatcher;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::uint64_t> mDrainSequence{ 0 };
  std::atomic<ServingState> mServing{ ServingState::Starting };
  std::mutex mConfigurationMutex; ///< Orders replies' configurations.
  std::atomic<Revision> mConfiguration{ 0 };
  Endpoint mEndpoint; ///< Where mServer listens.
  std::unique_ptr<net::HttpServer> mServer;
};

} // namespace foxtailbarrow
