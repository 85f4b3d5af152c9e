#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "apps/entry/ControlContext.h"
#include "apps/entry/JobDriver.h"
#include "src/core/base/Snapshot.h"
#include "src/core/membership/AgentDirectory.h"
#include "src/core/routing/CopyLimit.h"
#include "src/core/routing/OutlierDetector.h"
#include "src/core/routing/RoutingTable.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow::entry {

/// Handles agents' heartbeats: updates the agent directory, publishes routing
/// tables to the request threads, and lets contributors fill in the reply.
class HeartbeatHandler
{
public:
  /// Fills in its own fields of the reply.
  using Contributor = std::function<void(const Heartbeat&, HeartbeatReply&)>;

  HeartbeatHandler(ControlContext& aContext, Snapshot<RoutingTable>& aTable);

  void AddContributor(Contributor aContributor);

  /// Registers `agent.heartbeat`.
  void AddMethods(net::RpcDispatcher& aDispatcher);

  /// Limits each customer's requests to the number of copies that its contract
  /// allows.
  void SetAllowances(std::vector<CopyAllowance> aAllowances);

  /// Longest estimated heartbeat interval of the serving agents.
  Duration MaxHeartbeatInterval() const;

  /// Starts the fiber that detects missing heartbeats and unhealthy agents.
  void Start();

  const AgentDirectory& Directory() const { return mDirectory; }
  const OutlierDetector& Detector() const { return mDetector; }

private:
  HeartbeatReply OnHeartbeat(const Heartbeat& aHeartbeat);
  void Publish();
  void EvaluateHealth(Instant aNow);

  ControlContext& mContext;
  Snapshot<RoutingTable>& mTable;
  AgentDirectory mDirectory;
  /// Without copy limits; input of the outlier detector.
  std::shared_ptr<const RoutingTable> mUnlimitedTable;
  std::vector<CopyAllowance> mAllowances;
  OutlierDetector mDetector;
  Instant mEvaluatedAt{};
  std::vector<Contributor> mContributors;
  prometheus::Counter& mHeartbeats;
};

} // namespace foxtailbarrow::entry
