#pragma once

#include <atomic>
#include <functional>
#include <vector>

#include "src/net/FiberRuntime.h"
#include "src/net/Waker.h"

namespace foxtailbarrow {

/// The fibers of one object, on the runtime's first thread, so that the object
/// can end them before it goes.
class FiberGroup
{
public:
  explicit FiberGroup(net::FiberRuntime& aRuntime);

  /// Stop() must have been called.
  ~FiberGroup() = default;

  FiberGroup(const FiberGroup&) = delete;
  FiberGroup& operator=(const FiberGroup&) = delete;

  /// Runs `aBody` once.
  void Spawn(std::function<void()> aBody);

  /// Runs `aRound` again and again until Stop(), after the pause that it
  /// returned or when `aWaker` says so. The waker must outlive the fibers.
  void Repeat(Waker& aWaker, std::function<Duration()> aRound);

  /// As above, with one pause for all rounds.
  void Repeat(Waker& aWaker, Duration aPause, std::function<void()> aRound);

  bool Stopping() const { return mStopping; }

  /// Ends the rounds and waits for every fiber. Not to be called by a thread of
  /// the runtime. Bodies must end by themselves, by their calls' timeouts.
  void Stop();

private:
  net::FiberRuntime& mRuntime;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mRunning{ 0 };
  std::vector<Waker*> mWakers; ///< Filled before the first fiber ends.
};

} // namespace foxtailbarrow
