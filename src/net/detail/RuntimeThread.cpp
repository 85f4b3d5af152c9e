#include "src/net/detail/RuntimeThread.h"

#include <condition_variable>
#include <mutex>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "src/net/detail/AsioScheduler.h"

namespace foxtailbarrow::net::detail {

namespace {

thread_local RuntimeThread* sCurrent = nullptr;

/// Blocks a thread that still has suspended fibers until the process ends: if
/// it returned, Boost.Fiber would wait for them in thread-local destructors.
[[noreturn]] void SleepForever()
{
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock<std::mutex> lock(mutex);
  for (;;) {
    never.wait(lock);
  }
}

} // namespace

RuntimeThread::RuntimeThread(const void* aOwner, unsigned aIndex)
  : mOwner(aOwner)
  , mIndex(aIndex)
{
}

RuntimeThread* RuntimeThread::Current()
{
  return sCurrent;
}

void RuntimeThread::Start(const std::shared_ptr<RuntimeThread>& aSelf)
{
  aSelf->mThread = std::thread([self = aSelf] { self->Run(); });
}

void RuntimeThread::Run()
{
  sCurrent = this;
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(mIo);
  mMain = boost::fibers::context::active();
  while (!mStopping) {
    mMain->suspend();
  }
  const bool canEnd = mFibers == 0;
  mStopped.set_value(canEnd);
  if (!canEnd) {
    SleepForever();
  }
}

void RuntimeThread::Spawn(std::function<void()> aBody)
{
  if (sCurrent == this) {
    StartFiber(std::move(aBody));
    return;
  }
  boost::asio::post(mIo, [this, body = std::move(aBody)]() mutable {
    StartFiber(std::move(body));
  });
}

void RuntimeThread::StartFiber(std::function<void()> aBody)
{
  ++mFibers;
  boost::fibers::fiber(boost::fibers::launch::post,
                       std::allocator_arg,
                       StackAllocator(mStacks),
                       [this, body = std::move(aBody)]() mutable {
                         body();
                         body = nullptr;
                         --mFibers;
                       })
    .detach();
}

void RuntimeThread::RequestStop()
{
  boost::asio::post(mIo, [this] {
    mStopping = true;
    if (mMain != nullptr && !mMain->ready_is_linked()) {
      boost::fibers::context::active()->schedule(mMain);
    }
  });
}

void RuntimeThread::AwaitStop()
{
  if (mStopped.get_future().get()) {
    mThread.join();
  } else {
    mThread.detach();
  }
}

} // namespace foxtailbarrow::net::detail
