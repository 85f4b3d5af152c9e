#pragma once

#include <atomic>
#include <memory>

#include "absl/status/status.h"

#include "apps/entry/ContractWatcher.h"
#include "apps/entry/ControlContext.h"
#include "apps/entry/EntrySettings.h"
#include "apps/entry/HeartbeatHandler.h"
#include "apps/entry/JobDriver.h"
#include "apps/entry/JobPages.h"
#include "apps/entry/OwnershipDriver.h"
#include "apps/entry/RequestProxy.h"
#include "apps/entry/ShareDriver.h"
#include "src/net/HttpServer.h"
#include "src/platform/store/CountingStore.h"
#include "src/telemetry/AdminPages.h"
#include "src/telemetry/Metrics.h"
#include "src/telemetry/ServerReports.h"
#include "src/telemetry/StateDump.h"

namespace foxtailbarrow::entry {

/// The entry process: creates and connects its components. Request threads
/// share only snapshots and atomics with the single control thread.
class EntryProcess
{
public:
  explicit EntryProcess(const EntrySettings& aSettings);
  ~EntryProcess();

  /// Starts listening and serving.
  absl::Status Start();

  Endpoint CallersEndpoint() const { return mCallers->ListeningEndpoint(); }
  Endpoint ControlEndpoint() const { return mControl->ListeningEndpoint(); }

  /// Stops accepting requests, finishes those in progress and releases the
  /// shards. Returns when done or after the drain timeout.
  void Drain();

private:
  void CreateComponents();
  void CreateOwnership(const EntryRecord& aSelf);
  void CreateShares(const ShareOwner& aSelf);
  void CreateJobs();
  void CreateRequestPath();
  void StartComponents();
  void AddContributors();
  void AddMethods();
  void AddStateSources();
  net::HttpResponse ServeCaller(net::HttpRequest& aRequest);
  net::HttpResponse ServeControl(net::HttpRequest& aRequest);
  absl::Status Health() const;

  EntrySettings mSettings;
  Metrics mMetrics;
  StateDump mState;
  Snapshot<RoutingTable> mRouting;
  Snapshot<ContractTable> mContracts;
  Snapshot<ShareAllocation> mShares;
  net::FiberRuntime mRequestRuntime;
  net::FiberRuntime mControlRuntime;
  net::HttpClient mRequestClient;
  net::HttpClient mControlClient;
  net::RpcClient mRpc;
  net::RpcDispatcher mDispatcher;
  std::unique_ptr<Store> mEtcdStore;
  std::unique_ptr<CountingStore> mStore;
  std::unique_ptr<ControlContext> mContext;
  std::unique_ptr<JobDriver> mJobs;
  std::unique_ptr<OwnershipDriver> mOwnership;
  std::unique_ptr<ShareDriver> mShareDriver;
  std::unique_ptr<HeartbeatHandler> mHeartbeatHandler;
  std::unique_ptr<ContractWatcher> mContractWatcher;
  std::unique_ptr<JobPages> mJobPages;
  std::unique_ptr<RequestProxy> mProxy;
  std::unique_ptr<AdminPages> mAdmin;
  ServerReports mServerReports{ mMetrics }; ///< Of the control runtime.
  std::unique_ptr<net::HttpServer> mCallers;
  std::unique_ptr<net::HttpServer> mControl;
  std::atomic<bool> mReady{ false };
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mOwnershipReleased{ false };
};

} // namespace foxtailbarrow::entry
