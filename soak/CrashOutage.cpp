#include "soak/CrashOutage.h"

#include <chrono>

#include <boost/fiber/operations.hpp>

namespace foxtailbarrow::soak {

namespace {

using std::chrono::milliseconds;

/// A suspect is started again up to about this long after a crash.
constexpr Duration kMaxUntilOutage = milliseconds(3000);
/// An outage ends after this time if the task is not started.
constexpr Duration kMaxOutage = milliseconds(6000);
/// Time from the start of the task to the loss of all processes.
constexpr Duration kMaxUntilKill = milliseconds(500);
constexpr Duration kRestartDelay = milliseconds(300);
constexpr Duration kPollInterval = milliseconds(5);

} // namespace

CrashOutage::CrashOutage(net::FiberRuntime& aRuntime,
                         Fleet& aFleet,
                         unsigned aSeed)
  : mRuntime(aRuntime)
  , mFleet(aFleet)
  , mRandom(aSeed)
{
}

void CrashOutage::Start(OutageStart aStart)
{
  mStart = aStart;
  mFleet.SetRunEventSink(
    [this](const standin::RunEvent& aEvent) { OnRunEvent(aEvent); });
}

void CrashOutage::Stop()
{
  mStart = OutageStart::Never;
  while (mIsRunning) {
    boost::this_fiber::sleep_for(kPollInterval);
  }
}

void CrashOutage::OnRunEvent(const standin::RunEvent& aEvent)
{
  if (aEvent.mKind == standin::RunEventKind::Started) {
    if (mAwaited == aEvent.mTask) {
      mAwaited.reset();
    }
    if (!standin::ParseTaskProgram(aEvent.mPayload).mCrashes) {
      return;
    }
    mCrashing.insert(aEvent.mTask);
    if (mStart == OutageStart::AtStart && !mIsRunning) {
      mIsRunning = true;
      StopStore();
      mRuntime.Spawn([this] { RunAtStart(); });
    }
    return;
  }
  if (aEvent.mKind == standin::RunEventKind::Lost &&
      mStart == OutageStart::AfterCrash && !mIsRunning &&
      mCrashing.contains(aEvent.mTask)) {
    mIsRunning = true;
    mAwaited = aEvent.mTask;
    mRuntime.Spawn([this, task = aEvent.mTask] { RunAfterCrash(task); });
  }
}

void CrashOutage::RunAfterCrash(const cell::TaskRef& aTask)
{
  boost::this_fiber::sleep_for(Random(kMaxUntilOutage));
  if (mAwaited == aTask) {
    StopStore();
    const Instant end = MonotonicNow() + kMaxOutage;
    while (mAwaited && MonotonicNow() < end) {
      boost::this_fiber::sleep_for(kPollInterval);
    }
  }
  if (!mAwaited) {
    LoseAll();
  }
  mAwaited.reset();
  mFleet.Store().SetFaults({});
  mIsRunning = false;
}

void CrashOutage::RunAtStart()
{
  LoseAll();
  mFleet.Store().SetFaults({});
  boost::this_fiber::sleep_for(Random(kMaxUntilOutage));
  mIsRunning = false;
}

void CrashOutage::StopStore()
{
  standin::KvFaults faults;
  faults.mOutage = std::bernoulli_distribution()(mRandom)
                     ? standin::KvOutage::Refuses
                     : standin::KvOutage::Silent;
  mFleet.Store().SetFaults(faults);
}

void CrashOutage::LoseAll()
{
  boost::this_fiber::sleep_for(Random(kMaxUntilKill));
  mFleet.KillAll();
  boost::this_fiber::sleep_for(kRestartDelay);
  mFleet.StartAll();
}

Duration CrashOutage::Random(Duration aMax)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(0, aMax.count())(mRandom));
}

} // namespace foxtailbarrow::soak
