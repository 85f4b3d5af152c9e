#include "apps/entry/EntryProcess.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "apps/entry/EntryMetrics.h"
#include "apps/entry/ErrorResponse.h"
#include "apps/entry/RunOn.h"
#include "apps/entry/StateViews.h"
#include "src/net/ConnectionBudget.h"
#include "src/platform/store/CountingStore.h"
#include "src/platform/store/EtcdStore.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow::entry {

namespace {

constexpr unsigned kControlThreads = 1;
constexpr int kExitSuperseded = 1;
constexpr Duration kIntervalPoll = std::chrono::seconds(1);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
/// While the store is unavailable, shards cannot be released. Their next owners
/// then wait until this entry's tenure expires.
constexpr Duration kReleaseTimeout = std::chrono::seconds(5);

constexpr net::ServerShare kCallerShare{ .mMemoryPercent = 60,
                                         .mSocketPercent = 40 };
constexpr net::ServerShare kControlShare{ .mMemoryPercent = 40,
                                          .mSocketPercent = 20 };

Incarnation IncarnationNow()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
    std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::vector<CopyAllowance> AllowancesOf(const ContractTable& aTable)
{
  std::vector<CopyAllowance> allowances;
  allowances.reserve(aTable.mCustomers.size());
  for (const auto& [customer, state] : aTable.mCustomers) {
    allowances.push_back(
      { customer, state.mContract->mService, state.mContract->mMaxCopies });
  }
  return allowances;
}

OwnershipSettings OwnershipSettingsOf(const EntrySettings& aSettings)
{
  OwnershipSettings settings;
  settings.mShards = aSettings.mShards;
  return settings;
}

} // namespace

EntryProcess::EntryProcess(const EntrySettings& aSettings)
  : mSettings(aSettings)
  , mRouting(std::make_shared<const RoutingTable>())
  , mContracts(std::make_shared<const ContractTable>())
  , mShares(std::make_shared<const ShareAllocation>())
  , mRequestRuntime(aSettings.mThreads)
  , mControlRuntime(kControlThreads)
  , mRequestClient(mRequestRuntime)
  , mControlClient(mControlRuntime)
  , mRpc(mControlClient)
{
}

EntryProcess::~EntryProcess()
{
  // Fibers use the components, so the runtimes must stop first.
  mCallers.reset();
  mControl.reset();
  mRequestRuntime.Stop();
  mControlRuntime.Stop();
}

absl::Status EntryProcess::Start()
{
  const auto budget = net::ConnectionBudget::OfProcess(
    mSettings.mMemoryMb, mSettings.mMaxDescriptors);
  auto control = net::HttpServer::Start(
    mControlRuntime,
    mSettings.mControl,
    [this](net::HttpRequest& aRequest) { return ServeControl(aRequest); },
    LimitsFor(budget, kControlShare));
  if (!control.ok()) {
    return control.status();
  }
  mControl = *std::move(control);
  mControlRuntime.RunAndWait([this] { CreateComponents(); });
  auto callers = net::HttpServer::Start(
    mRequestRuntime,
    mSettings.mListen,
    [this](net::HttpRequest& aRequest) { return ServeCaller(aRequest); },
    LimitsFor(budget, kCallerShare));
  if (!callers.ok()) {
    return callers.status();
  }
  mCallers = *std::move(callers);
  mControlRuntime.RunAndWait([this] {
    mServerReports.Add("control", *mControl);
    mServerReports.Add("callers", *mCallers);
  });
  return absl::OkStatus();
}

void EntryProcess::CreateComponents()
{
  mEtcdStore = std::make_unique<EtcdStore>(
    mControlRuntime, EtcdSettings{ .mEndpoints = mSettings.mStore });
  mStore = std::make_unique<CountingStore>(*mEtcdStore);
  mContext = std::make_unique<ControlContext>(
    ControlContext{ mSettings.mId, mControlRuntime, *mStore, mRpc, mMetrics });
  const EntryRecord self{
    mSettings.mId, IncarnationNow(), ControlEndpoint(), 0
  };
  CreateOwnership(self);
  CreateShares({ self.mEntry, self.mIncarnation });
  CreateJobs();
  mHeartbeatHandler = std::make_unique<HeartbeatHandler>(*mContext, mRouting);
  CreateRequestPath();
  mAdmin =
    std::make_unique<AdminPages>(mMetrics, mState, [this] { return Health(); });
  AddProcessMetrics(mMetrics);
  AddStoreMetrics(mMetrics, mStore->Counts());
  AddJobMetrics(mMetrics, mJobs->Scheduler());
  AddContributors();
  AddMethods();
  AddStateSources();
  StartComponents();
  mReady = true;
}

void EntryProcess::CreateOwnership(const EntryRecord& aSelf)
{
  mOwnership = std::make_unique<OwnershipDriver>(
    *mContext,
    OwnershipSettingsOf(mSettings),
    aSelf,
    OwnershipDriver::Callbacks{
      .mAcquired =
        [this](ShardId aShard, Generation aGeneration) {
          mJobs->OnShardAcquired(aShard, aGeneration);
        },
      .mReleased = [this](ShardId aShard) { mJobs->OnShardLost(aShard); },
      .mEarlierLeasesExpired =
        [this](ShardId aShard) { mJobs->OnEarlierLeasesExpired(aShard); },
      .mSuperseded = [] { std::quick_exit(kExitSuperseded); },
      .mDrained = [this] { mOwnershipReleased = true; } });
}

void EntryProcess::CreateShares(const ShareOwner& aSelf)
{
  ShareSettings settings;
  settings.mSlots = static_cast<std::int32_t>(mSettings.mShareSlots);
  mShareDriver = std::make_unique<ShareDriver>(
    *mContext, settings, aSelf, mOwnership->Ownership(), mShares);
}

void EntryProcess::CreateJobs()
{
  mJobs = std::make_unique<JobDriver>(
    *mContext,
    [this](ShardId aShard) {
      return mOwnership->Ownership().MayExtend(aShard, MonotonicNow());
    },
    [this](ShardId aShard) {
      return mOwnership->Ownership().MayReassign(aShard, MonotonicNow());
    },
    mSettings.mEndedRetention);
  mJobPages =
    std::make_unique<JobPages>(*mContext,
                               *mOwnership,
                               *mJobs,
                               mSettings.mShards,
                               [this](const CustomerId& aCustomer) {
                                 return mContractWatcher->Has(aCustomer);
                               });
}

void EntryProcess::CreateRequestPath()
{
  mContractWatcher = std::make_unique<ContractWatcher>(
    *mContext, mContracts, [this](const ContractWatcher::Change& aChange) {
      mJobs->Handle(ContractsChanged{ aChange.mChanged, aChange.mRemoved });
      mHeartbeatHandler->SetAllowances(AllowancesOf(*mContracts.Load()));
    });
  mProxy = std::make_unique<RequestProxy>(
    mRouting,
    mContracts,
    mShares,
    mSettings.mFailureDomain,
    mHeartbeatHandler->Detector(),
    DeadlineLimits{ mSettings.mDefaultDeadline, mSettings.mMaxDeadline },
    mRequestClient,
    mMetrics);
}

void EntryProcess::StartComponents()
{
  mContractWatcher->Start();
  mHeartbeatHandler->Start();
  mOwnership->Start();
  mShareDriver->Start();
  mJobs->Start();
  mControlRuntime.Spawn([this] {
    while (true) {
      mJobs->ExpectInterval(mHeartbeatHandler->MaxHeartbeatInterval());
      mServerReports.Round();
      boost::this_fiber::sleep_for(kIntervalPoll);
    }
  });
}

void EntryProcess::AddContributors()
{
  mHeartbeatHandler->AddContributor(
    [this](const Heartbeat& aHeartbeat, HeartbeatReply& aReply) {
      mContractWatcher->Contribute(aHeartbeat, aReply);
    });
  mHeartbeatHandler->AddContributor(
    [this](const Heartbeat& aHeartbeat, HeartbeatReply& aReply) {
      TaskReplies replies = mJobs->OnHeartbeat(aHeartbeat);
      aReply.mLeases = std::move(replies.mLeases);
      aReply.mAcknowledged = std::move(replies.mAcknowledged);
      aReply.mUnknown = std::move(replies.mUnknown);
    });
  mHeartbeatHandler->AddContributor(
    [this](const Heartbeat&, HeartbeatReply& aReply) {
      for (const LiveEntry& entry : mOwnership->Ownership().Roster().Live()) {
        aReply.mEntries.push_back(entry.mRecord.mEndpoint);
      }
    });
}

void EntryProcess::AddMethods()
{
  mHeartbeatHandler->AddMethods(mDispatcher);
  mOwnership->AddMethods(mDispatcher);
  mJobPages->AddMethods(mDispatcher);
}

void EntryProcess::AddStateSources()
{
  mState.Add("agents", [this] {
    return AgentsView(
      mHeartbeatHandler->Directory(), mJobs->Scheduler(), MonotonicNow());
  });
  mState.Add("jobs", [this] { return JobsView(mJobs->Scheduler()); });
  mState.Add("ownership", [this] {
    return OwnershipView(mOwnership->Ownership(), MonotonicNow());
  });
  mState.Add("contracts", [this] {
    return ContractsView(*mContracts.Load(),
                         *mShares.Load(),
                         mContractWatcher->AsOf(),
                         MonotonicNow());
  });
}

net::HttpResponse EntryProcess::ServeCaller(net::HttpRequest& aRequest)
{
  if (JobPages::Serves(aRequest.mTarget)) {
    return RunOn(mControlRuntime, [&] { return mJobPages->Answer(aRequest); });
  }
  return mProxy->Forward(aRequest);
}

net::HttpResponse EntryProcess::ServeControl(net::HttpRequest& aRequest)
{
  if (!mReady) {
    return ErrorResponse({ .mMessage = "the entry is starting" });
  }
  if (aRequest.mTarget == net::kRpcTarget) {
    return mDispatcher.Handle(aRequest);
  }
  if (JobPages::Serves(aRequest.mTarget)) {
    return mJobPages->Answer(aRequest);
  }
  if (auto page = mAdmin->Answer(aRequest)) {
    return *std::move(page);
  }
  return ErrorResponse({ .mStatus = 404, .mMessage = "no such page" });
}

absl::Status EntryProcess::Health() const
{
  if (mDraining) {
    return absl::UnavailableError("draining");
  }
  if (mContractWatcher->AsOf() == 0) {
    return absl::UnavailableError("no configuration has been read yet");
  }
  if (mHeartbeatHandler->Directory().IsDiscovering(MonotonicNow())) {
    return absl::UnavailableError("agents are still being discovered");
  }
  return absl::OkStatus();
}

void EntryProcess::Drain()
{
  mDraining = true;
  const Instant end = MonotonicNow() + mSettings.mDrainTimeout;
  mCallers->Drain();
  mControlRuntime.RunAndWait([this] {
    mShareDriver->Release();
    mOwnership->Drain();
  });
  const Instant releaseEnd = std::min(end, MonotonicNow() + kReleaseTimeout);
  const auto mustWait = [&](Instant aNow) {
    return mCallers->RequestsInProgress() > 0
             ? aNow < end
             : !mOwnershipReleased && aNow < releaseEnd;
  };
  while (mustWait(MonotonicNow())) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

} // namespace foxtailbarrow::entry
