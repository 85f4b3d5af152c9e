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

void CrashOutage::Start()
{
  mIsStarted = true;
  mFleet.SetRunEventSink(
    [this](const standin::RunEvent& aEvent) { OnRunEvent(aEvent); });
}

void CrashOutage::Stop()
{
  mIsStarted = false;
  while (mIsRunning) {
    boost::this_fiber::sleep_for(kPollInterval);
  }
}

void CrashOutage::OnRunEvent(const standin::RunEvent& aEvent)
{
  if (aEvent.mKind == standin::RunEventKind::Started) {
    if (standin::ParseTaskProgram(aEvent.mPayload).mCrashes) {
      mCrashing.insert(aEvent.mTask);
    }
    if (mAwaited == aEvent.mTask) {
      mAwaited.reset();
    }
    return;
  }
  if (aEvent.mKind == standin::RunEventKind::Lost && mIsStarted &&
      !mIsRunning && mCrashing.contains(aEvent.mTask)) {
    mIsRunning = true;
    mAwaited = aEvent.mTask;
    mRuntime.Spawn([this, task = aEvent.mTask] { Run(task); });
  }
}

void CrashOutage::Run(const cell::TaskRef& aTask)
{
  boost::this_fiber::sleep_for(Random(kMaxUntilOutage));
  if (mAwaited == aTask) {
    standin::KvFaults faults;
    faults.mOutage = std::bernoulli_distribution()(mRandom)
                       ? standin::KvOutage::Refuses
                       : standin::KvOutage::Silent;
    mFleet.Store().SetFaults(faults);
    const Instant end = MonotonicNow() + kMaxOutage;
    while (mAwaited && MonotonicNow() < end) {
      boost::this_fiber::sleep_for(kPollInterval);
    }
  }
  if (!mAwaited) {
    boost::this_fiber::sleep_for(Random(kMaxUntilKill));
    mFleet.KillAll();
    boost::this_fiber::sleep_for(kRestartDelay);
    mFleet.StartAll();
  }
  mAwaited.reset();
  mFleet.Store().SetFaults({});
  mIsRunning = false;
}

Duration CrashOutage::Random(Duration aMax)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(0, aMax.count())(mRandom));
}

} // namespace foxtailbarrow::soak
