#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <vector>

#include "src/net/FiberRuntime.h"
#include "src/net/Waker.h"

namespace foxtailbarrow {

/// Owns the fibers of one object, so that the object can end them before it is
/// destroyed. All of them run on the runtime's first thread.
class FiberGroup
{
public:
  /// Pause of a round that runs again only when woken.
  static constexpr Duration kUntilWoken = std::chrono::hours(1);

  explicit FiberGroup(net::FiberRuntime& aRuntime);

  /// Stop() must have been called.
  ~FiberGroup() = default;

  FiberGroup(const FiberGroup&) = delete;
  FiberGroup& operator=(const FiberGroup&) = delete;

  /// Runs `aBody` once.
  void Spawn(std::function<void()> aBody);

  /// Runs `aRound` repeatedly until Stop(): after the pause that it returned,
  /// or earlier when `aWaker` is woken. The waker must outlive the fibers.
  void Repeat(Waker& aWaker, std::function<Duration()> aRound);

  /// As above, with a fixed pause.
  void Repeat(Waker& aWaker, Duration aPause, std::function<void()> aRound);

  bool Stopping() const { return mStopping; }

  /// Ends the rounds and waits for every fiber. Must not be called on a thread
  /// of the runtime. Does not interrupt bodies: they must return by themselves,
  /// at the latest when their calls time out.
  void Stop();

private:
  net::FiberRuntime& mRuntime;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mRunning{ 0 };
  std::vector<Waker*> mWakers; ///< Not modified after Stop().
};

} // namespace foxtailbarrow
