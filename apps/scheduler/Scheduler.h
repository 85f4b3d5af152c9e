#pragma once

#include <memory>
#include <set>

#include "absl/status/status.h"

#include "apps/scheduler/ConfigurationWatch.h"
#include "apps/scheduler/CordonSpread.h"
#include "apps/scheduler/Election.h"
#include "apps/scheduler/JobRequestHandler.h"
#include "apps/scheduler/SchedulerSettings.h"
#include "apps/scheduler/StoreProbe.h"
#include "platform/AdviceClient.h"
#include "platform/KvStore.h"
#include "src/core/base/SuspendDetector.h"
#include "src/net/ConnectionBudget.h"
#include "src/net/FiberGroup.h"
#include "src/net/HttpServer.h"
#include "src/net/Rpc.h"
#include "src/platform/store/CountingStore.h"
#include "src/platform/store/HealthTrackingStore.h"
#include "src/telemetry/AdminPages.h"
#include "src/telemetry/ServerReports.h"

namespace foxtailbarrow::scheduler {

/// The scheduler process on a VM behind the load balancer: answers callers and
/// takes part in the election of the cell's owner.
class Scheduler
{
public:
  Scheduler(SchedulerSettings aSettings, net::FiberRuntime& aRuntime);
  ~Scheduler();

  absl::Status Start();
  /// Resigns as the owner, answers the requests already received, and returns
  /// within the drain timeout. Must not be called on a thread of the runtime.
  void Drain();

private:
  net::HttpResponse ServeCaller(const net::HttpRequest& aRequest);
  net::HttpResponse ServeReady(const net::HttpRequest& aRequest);
  net::HttpResponse ServePeer(const net::HttpRequest& aRequest);
  net::HttpResponse ServeAdmin(const net::HttpRequest& aRequest);
  absl::Status Readiness() const;
  void OnResume();
  absl::Status Listen(const char* aName,
                      const Endpoint& aEndpoint,
                      const net::ServerShare& aShare,
                      net::HttpServer::Handler aHandler,
                      std::unique_ptr<net::HttpServer>& aServer);
  absl::Status ListenAll();
  void OnCordons(const cell::CordonTable& aCordons);
  void AddMethods();
  void AddCordonMethod();
  void AddViews();
  void AddLoadMetrics();
  void AddCrashMetrics();
  void AddCordonViews();
  void AddQueueMetrics(const cell::CellConfiguration& aConfiguration);
  bool RequiresMissingAdvisor(
    const cell::JobRequest& aRequest,
    const cell::CellConfiguration& aConfiguration) const;
  cell::JobAnswer Refuse(const absl::Status& aStatus) const;
  std::shared_ptr<CellOwner> MakeOwner(const cell::OwnerTerm& aTerm);

  const SchedulerSettings mSettings;
  const cell::CellSettings mCellSettings;
  net::FiberRuntime& mRuntime;
  platform::KvStore mPlainStore;
  CountingStore mCountedStore;
  HealthTrackingStore mStore;
  StoreProbe mStoreProbe;
  platform::AdviceClient mAdvice;
  net::HttpClient mClient;
  net::RpcClient mRpc;
  net::RpcDispatcher mDispatcher;
  ConfigurationWatch mConfiguration;
  Election mElection;
  CordonSpread mCordonSpread;
  JobRequestHandler mJobs;
  Metrics mMetrics;
  std::set<cell::QueueId> mMeasuredQueues;
  StateDump mState;
  AdminPages mAdmin;
  prometheus::Histogram& mAnswerTime;
  bool mDraining = false;
  bool mLoggedReady = false;
  Waker mConfigurationWaker;
  Waker mProbeWaker;
  Waker mResumeWaker;
  SuspendDetector mResume;
  std::unique_ptr<net::HttpServer> mCallers;
  std::unique_ptr<net::HttpServer> mReady;
  std::unique_ptr<net::HttpServer> mPeers;
  std::unique_ptr<net::HttpServer> mControl;
  std::unique_ptr<net::HttpServer> mAdminServer;
  ServerReports mServerReports{ mMetrics };
  Waker mServerReportWaker;
  FiberGroup mFibers;
};

} // namespace foxtailbarrow::scheduler
