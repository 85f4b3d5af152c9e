#include "soak/Injector.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <boost/fiber/operations.hpp>

namespace foxtailbarrow::soak {

namespace {

using standin::KvFaults;
using standin::KvOutage;
using standin::TaskWorkerFaults;
using std::chrono::milliseconds;

constexpr std::uint32_t kLinkStates = 5;
/// Time from the exit of a process to its restart.
constexpr Duration kClockStep = std::chrono::seconds(30);
constexpr Duration kRestartDelay = milliseconds(300);
constexpr unsigned kMaxHosts = 64;
/// Time between two capacities of a worker that alternates between them.
constexpr Duration kFlapInterval = milliseconds(300);

KvFaults StoreFaults(FaultKind aKind)
{
  KvFaults faults;
  switch (aKind) {
    case FaultKind::StoreSilent:
      faults.mOutage = KvOutage::Silent;
      break;
    case FaultKind::StoreSilentLeasesPause:
      faults.mOutage = KvOutage::Silent;
      faults.mLeasesPause = true;
      break;
    case FaultKind::StoreRefuses:
      faults.mOutage = KvOutage::Refuses;
      break;
    case FaultKind::StoreSlow:
      faults.mDelay = milliseconds(250);
      break;
    case FaultKind::StoreLosesAnswers:
      faults.mLoseShare = 0.35;
      break;
    default:
      faults.mLateShare = 0.35;
      break;
  }
  return faults;
}

TaskWorkerFaults WorkerFaults(FaultKind aKind)
{
  TaskWorkerFaults faults;
  faults.mMute = aKind == FaultKind::WorkerMute;
  faults.mFailAll = aKind == FaultKind::WorkerFailsAll;
  faults.mLateShare = aKind == FaultKind::WorkerLate ? 0.3 : 0.0;
  return faults;
}

} // namespace

Injector::Injector(net::FiberRuntime& aRuntime,
                   Fleet& aFleet,
                   PromiseChecker& aChecker,
                   std::int64_t aKeptIdPercent)
  : mRuntime(aRuntime)
  , mFleet(aFleet)
  , mChecker(aChecker)
  , mKeptIdPercent(aKeptIdPercent)
{
  if (mKeptIdPercent > 0) {
    for (unsigned host = 0; host < kMaxHosts; ++host) {
      mFleet.Worker(host).SetCrashRestartId(standin::RestartId::Kept);
    }
  }
}

void Injector::InjectAll(const std::vector<Fault>& aFaults)
{
  const Instant start = MonotonicNow();
  for (const Fault& fault : aFaults) {
    boost::this_fiber::sleep_until(start + fault.mAt);
    std::cout << "fault "
              << std::chrono::duration_cast<milliseconds>(fault.mAt).count()
              << " ms " << ToString(fault.mKind) << " target "
              << fault.mTarget % kMaxHosts << " variant "
              << fault.mVariant % kLinkStates << " for "
              << std::chrono::duration_cast<milliseconds>(fault.mFor).count()
              << " ms" << std::endl;
    mRuntime.Spawn([this, fault] { Inject(fault); });
  }
}

void Injector::EndAllFaults()
{
  mAllEnded = true;
  mFleet.Store().SetFaults({});
  for (unsigned domain = 0; domain < Fleet::kFailureDomains; ++domain) {
    RemoveCordon(Fleet::FailureDomainOf(domain));
  }
  for (unsigned host = 0; host < kMaxHosts; ++host) {
    mFleet.Scheduler(host).Signal(SIGCONT);
    mFleet.Agent(host).Signal(SIGCONT);
    mFleet.StoreLink(host).Set(LinkState::Passes);
    mFleet.SchedulerLink(host).Set(LinkState::Passes);
    mFleet.AgentLink(host).Set(LinkState::Passes);
    mFleet.Worker(host).SetFaults({});
    mFleet.Worker(host).Resize(standin::TaskWorkerSettings().mCapacity);
    if (!mFleet.Worker(host).Up()) {
      RestartWorker(host, 0);
    }
  }
  mFleet.StartAll();
}

void Injector::Inject(const Fault& aFault)
{
  switch (aFault.mKind) {
    case FaultKind::KillScheduler:
      InjectProcessFault(aFault, mFleet.Scheduler(aFault.mTarget), SIGKILL);
      break;
    case FaultKind::TermScheduler:
      InjectProcessFault(aFault, mFleet.Scheduler(aFault.mTarget), SIGTERM);
      break;
    case FaultKind::PauseScheduler:
      InjectProcessFault(aFault, mFleet.Scheduler(aFault.mTarget), SIGSTOP);
      break;
    case FaultKind::KillAgent:
      InjectProcessFault(aFault, mFleet.Agent(aFault.mTarget), SIGKILL);
      break;
    case FaultKind::TermAgent:
      InjectProcessFault(aFault, mFleet.Agent(aFault.mTarget), SIGTERM);
      break;
    case FaultKind::PauseAgent:
      InjectProcessFault(aFault, mFleet.Agent(aFault.mTarget), SIGSTOP);
      break;
    case FaultKind::KillAll:
      mFleet.KillAll();
      boost::this_fiber::sleep_for(kRestartDelay);
      mFleet.StartAll();
      break;
    case FaultKind::StoreLink:
      InjectLinkFault(aFault, mFleet.StoreLink(aFault.mTarget));
      break;
    case FaultKind::SchedulerLink:
      InjectLinkFault(aFault, mFleet.SchedulerLink(aFault.mTarget));
      break;
    case FaultKind::AgentLink:
      InjectLinkFault(aFault, mFleet.AgentLink(aFault.mTarget));
      break;
    case FaultKind::WorkerCrashes:
    case FaultKind::WorkerLeaves:
    case FaultKind::WorkerMute:
    case FaultKind::WorkerFailsAll:
    case FaultKind::WorkerLate:
      InjectWorkerFault(aFault);
      break;
    case FaultKind::WorkerShrinks:
      InjectShrinking(aFault);
      break;
    case FaultKind::Cordon:
      InjectCordon(aFault);
      break;
    case FaultKind::Configuration:
      mFleet.Configure();
      break;
    default:
      InjectStoreFault(aFault);
      break;
  }
}

void Injector::InjectProcessFault(const Fault& aFault,
                                  Child& aChild,
                                  int aSignal)
{
  aChild.Signal(aSignal);
  boost::this_fiber::sleep_for(aFault.mFor);
  if (aSignal == SIGSTOP) {
    aChild.Signal(SIGCONT);
    return;
  }
  while (aChild.Running() && !mAllEnded && aSignal == SIGTERM) {
    boost::this_fiber::sleep_for(kRestartDelay);
  }
  aChild.Start();
}

void Injector::InjectStoreFault(const Fault& aFault)
{
  if (aFault.mKind == FaultKind::StoreForgets) {
    mFleet.Store().CompactHistory();
    return;
  }
  mFleet.Store().SetFaults(StoreFaults(aFault.mKind));
  boost::this_fiber::sleep_for(aFault.mFor);
  mFleet.Store().SetFaults({});
}

void Injector::InjectLinkFault(const Fault& aFault, LinkProxy& aLink)
{
  aLink.Set(static_cast<LinkState>(1 + aFault.mVariant % kLinkStates));
  boost::this_fiber::sleep_for(aFault.mFor);
  aLink.Set(LinkState::Passes);
}

void Injector::InjectWorkerFault(const Fault& aFault)
{
  standin::TaskWorkerService& worker = mFleet.Worker(aFault.mTarget);
  if (!worker.Up()) {
    return;
  }
  if (aFault.mKind == FaultKind::WorkerCrashes) {
    worker.Crash();
    RestartAtOnce(aFault);
  } else if (aFault.mKind == FaultKind::WorkerLeaves) {
    worker.Leave();
  } else {
    worker.SetFaults(WorkerFaults(aFault.mKind));
  }
  boost::this_fiber::sleep_for(aFault.mFor);
  worker.SetFaults({});
  // The worker of the last fault may go down only after EndAllFaults().
  if (!worker.Up()) {
    RestartWorker(aFault.mTarget, aFault.mVariant);
  }
}

/// Some crashed workers restart at once, some of these twice in a row.
void Injector::RestartAtOnce(const Fault& aFault)
{
  constexpr std::uint32_t kWays = 3;
  const std::uint32_t restarts = aFault.mVariant % kWays;
  if (mKeptIdPercent == 0) {
    return;
  }
  for (std::uint32_t i = 0; i < restarts; ++i) {
    if (i > 0) {
      mFleet.Worker(aFault.mTarget).Crash();
    }
    RestartWorker(aFault.mTarget, aFault.mVariant);
  }
}

void Injector::RestartWorker(unsigned aWorker, std::uint32_t aVariant)
{
  constexpr std::uint32_t kPercent = 100;
  const bool kept = aVariant / kLinkStates % kPercent < mKeptIdPercent;
  // The time of start (`born`) of a later incarnation may be the earlier one.
  mFleet.Worker(aWorker).StepClock(aVariant % 2 == 0 ? kClockStep
                                                     : -kClockStep);
  mFleet.Worker(aWorker).Restart(kept ? standin::RestartId::Kept
                                      : standin::RestartId::New);
}

/// Shrinks the worker to nothing, a quarter or a half, or alternates between a
/// half and full capacity faster than heartbeats report it.
void Injector::InjectShrinking(const Fault& aFault)
{
  constexpr std::uint32_t kSizes = 4;
  constexpr std::int64_t kQuarters = 4;
  const Resources full = standin::TaskWorkerSettings().mCapacity;
  const std::uint32_t size = aFault.mVariant % kSizes;
  const bool flaps = size == kSizes - 1;
  const std::int64_t quarters = flaps ? 2 : static_cast<std::int64_t>(size);
  const Resources less{ full.mMillicores * quarters / kQuarters,
                        full.mMemoryMb * quarters / kQuarters,
                        0 };
  standin::TaskWorkerService& worker = mFleet.Worker(aFault.mTarget);
  const Instant end = MonotonicNow() + aFault.mFor;
  worker.Resize(less);
  for (bool small = true; MonotonicNow() < end; small = !small) {
    worker.Resize(flaps && !small ? full : less);
    boost::this_fiber::sleep_for(
      std::min<Duration>(kFlapInterval, end - MonotonicNow()));
  }
  worker.Resize(full);
}

/// Cordons of one domain may overlap; the first removal ends them.
void Injector::InjectCordon(const Fault& aFault)
{
  const std::string domain = Fleet::FailureDomainOf(aFault.mTarget);
  mFleet.SetCordon(domain, true);
  mChecker.OnCordonSet(domain, MonotonicNow());
  boost::this_fiber::sleep_for(aFault.mFor);
  if (!mAllEnded) {
    RemoveCordon(domain);
  }
}

void Injector::RemoveCordon(const std::string& aFailureDomain)
{
  mChecker.OnCordonRemoved(aFailureDomain);
  mFleet.SetCordon(aFailureDomain, false);
}

} // namespace foxtailbarrow::soak
