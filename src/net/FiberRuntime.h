#pragma once

#include <functional>
#include <memory>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::net {

/// A fixed number of threads, each with one Asio io_context and one fiber
/// scheduler. A fiber never moves to another thread. Inside a fiber,
/// boost::this_fiber's sleep functions and boost::fibers' mutexes, condition
/// variables, promises and channels may be used.
class FiberRuntime
{
public:
  /// Starts `aThreads` threads, at least 1.
  explicit FiberRuntime(unsigned aThreads);
  ~FiberRuntime(); ///< Calls Stop() and joins.

  FiberRuntime(const FiberRuntime&) = delete;
  FiberRuntime& operator=(const FiberRuntime&) = delete;

  unsigned Threads() const;

  /// Runs `aBody` in a new fiber: on the calling thread if it belongs to this
  /// runtime, else on the threads round-robin. Thread-safe.
  void Spawn(std::function<void()> aBody);

  /// Runs `aBody` in a new fiber on thread `aThread` < Threads().
  void SpawnOn(unsigned aThread, std::function<void()> aBody);

  /// Runs `aBody` in a fiber and blocks the calling thread, which must not be
  /// one of this runtime's, until it returns. Rethrows what `aBody` throws;
  /// throws std::logic_error after Stop().
  void RunAndWait(std::function<void()> aBody);

  /// Ends the threads; fibers that are still suspended are abandoned. Later
  /// calls have no effect.
  void Stop();

  struct Impl; ///< Private to src/net.
  Impl& Internals() { return *mImpl; }

private:
  std::unique_ptr<Impl> mImpl;
};

/// Blocks the calling thread until SIGTERM or SIGINT arrives. Call
/// BlockSignals() first in main(), before any thread starts.
void BlockSignals();
int WaitForSignal();

/// As WaitForSignal(), but also calls `aOnReload` for each SIGHUP.
int WaitForStop(const std::function<void()>& aOnReload);

} // namespace foxtailbarrow::net
