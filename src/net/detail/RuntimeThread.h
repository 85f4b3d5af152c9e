#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <thread>

#include <boost/fiber/context.hpp>

#include "src/net/detail/Asio.h"
#include "src/net/detail/StackPool.h"

namespace foxtailbarrow::net::detail {

/// One thread of a FiberRuntime with its io_context and its fibers.
class RuntimeThread
{
public:
  RuntimeThread(const void* aOwner, unsigned aIndex);

  /// Starts `aSelf`'s thread, which shares ownership: a thread abandoned with
  /// suspended fibers must keep their memory alive.
  static void Start(const std::shared_ptr<RuntimeThread>& aSelf);

  /// Starts a fiber on this thread. Thread-safe.
  void Spawn(std::function<void()> aBody);

  /// Asks the thread to end. Thread-safe.
  void RequestStop();

  /// Waits until the thread runs no more fibers; joins it if none is left.
  void AwaitStop();

  boost::asio::io_context& Io() { return mIo; }
  unsigned Index() const { return mIndex; }
  const void* Owner() const { return mOwner; }

  /// The calling runtime thread, or nullptr.
  static RuntimeThread* Current();

private:
  void Run();
  void StartFiber(std::function<void()> aBody);

  const void* mOwner;
  unsigned mIndex;
  boost::asio::io_context mIo{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mIo.get_executor() };
  StackPool mStacks;
  std::size_t mFibers = 0;
  bool mStopping = false;
  boost::fibers::context* mMain = nullptr;
  std::promise<bool> mStopped; ///< True if the thread can be joined.
  std::thread mThread;
};

} // namespace foxtailbarrow::net::detail
