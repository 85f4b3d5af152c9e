#pragma once

#include <functional>
#include <memory>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::net {

/// A fixed number of threads, each with one Asio io_context and one fiber
/// scheduler. A fiber stays on its thread for life. boost::this_fiber's sleep
/// functions and boost::fibers' mutexes, condition variables, promises and
/// channels may be used inside a fiber.
class FiberRuntime
{
public:
  /// Starts `aThreads` threads, at least 1.
  explicit FiberRuntime(unsigned aThreads);
  ~FiberRuntime(); ///< Calls Stop() and joins.

  FiberRuntime(const FiberRuntime&) = delete;
  FiberRuntime& operator=(const FiberRuntime&) = delete;

  unsigned Threads() const;

  /// Runs `aBody` in a new fiber, on the caller's thread when that is one of
  /// this runtime's, else on each in turn. Callable from any thread.
  void Spawn(std::function<void()> aBody);

  /// Runs `aBody` in a new fiber on thread `aThread` < Threads().
  void SpawnOn(unsigned aThread, std::function<void()> aBody);

  /// Runs `aBody` in a fiber and blocks the calling thread, which must not be
  /// one of this runtime's, until it returns. Passes on what it throws; throws
  /// std::logic_error after Stop().
  void RunAndWait(std::function<void()> aBody);

  /// Ends the threads once; fibers that still wait are abandoned.
  void Stop();

  struct Impl; ///< Known to the .cpp files of src/net alone.
  Impl& Internals() { return *mImpl; }

private:
  std::unique_ptr<Impl> mImpl;
};

/// Blocks the calling thread until SIGTERM or SIGINT arrives. Call
/// BlockSignals() first in main(), before any thread starts.
void BlockSignals();
int WaitForSignal();

/// As WaitForSignal(), and calls `aOnReload` for each SIGHUP meanwhile.
int WaitForStop(const std::function<void()>& aOnReload);

} // namespace foxtailbarrow::net
