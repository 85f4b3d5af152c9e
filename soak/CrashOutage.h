#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>

#include "soak/Fleet.h"

namespace foxtailbarrow::soak {

/// When the outages of CrashOutage begin.
enum class OutageStart : std::uint8_t
{
  Never,
  AfterCrash, ///< Ends soon after the next start of the task.
  AtStart,    ///< Before the start can be saved; ends soon after it.
};

/// Times faults by crashing tasks, so that what is known of their starts and
/// crashes is likely lost: the store stops accepting writes, and all processes
/// are killed soon after a start of the task. One such outage at a time, in
/// addition to the random faults. Runs on the single thread of the runtime.
class CrashOutage
{
public:
  CrashOutage(net::FiberRuntime& aRuntime, Fleet& aFleet, unsigned aSeed);

  /// Begins outages until Stop(), which waits for the current one.
  void Start(OutageStart aStart);
  void Stop();

private:
  void OnRunEvent(const standin::RunEvent& aEvent);
  void RunAfterCrash(const cell::TaskRef& aTask);
  void RunAtStart();
  void StopStore();
  void LoseAll();
  Duration Random(Duration aMax);

  net::FiberRuntime& mRuntime;
  Fleet& mFleet;
  std::mt19937 mRandom;
  std::set<cell::TaskRef> mCrashing;
  std::optional<cell::TaskRef> mAwaited; ///< Its next start ends the outage.
  OutageStart mStart = OutageStart::Never;
  bool mIsRunning = false; ///< An outage, until the store accepts writes again.
};

} // namespace foxtailbarrow::soak
