#pragma once

#include <optional>
#include <random>
#include <set>

#include "soak/Fleet.h"

namespace foxtailbarrow::soak {

/// Times faults by the crashes of crashing tasks, so that what is known of them
/// is likely lost: some time after a crash the store stops accepting writes,
/// and all processes are killed soon after the next start of the task. One such
/// outage at a time, in addition to the random faults. Runs on the single
/// thread of the runtime.
class CrashOutage
{
public:
  CrashOutage(net::FiberRuntime& aRuntime, Fleet& aFleet, unsigned aSeed);

  /// Begins outages until Stop(), which waits for the current one.
  void Start();
  void Stop();

private:
  void OnRunEvent(const standin::RunEvent& aEvent);
  void Run(const cell::TaskRef& aTask);
  Duration Random(Duration aMax);

  net::FiberRuntime& mRuntime;
  Fleet& mFleet;
  std::mt19937 mRandom;
  std::set<cell::TaskRef> mCrashing;
  std::optional<cell::TaskRef> mAwaited; ///< Its next start ends the outage.
  bool mIsStarted = false;
  bool mIsRunning = false; ///< An outage, until the store accepts writes again.
};

} // namespace foxtailbarrow::soak
