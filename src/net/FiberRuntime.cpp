#include "src/net/FiberRuntime.h"

#include <algorithm>
#include <exception>
#include <future>
#include <stdexcept>

#include "src/net/detail/RuntimeImpl.h"

namespace foxtailbarrow::net {

using detail::RuntimeThread;

FiberRuntime::FiberRuntime(unsigned aThreads)
  : mImpl(std::make_unique<Impl>())
{
  for (unsigned index = 0; index < std::max(aThreads, 1U); ++index) {
    auto thread = std::make_shared<RuntimeThread>(mImpl.get(), index);
    RuntimeThread::Start(thread);
    mImpl->mThreads.push_back(std::move(thread));
  }
}

FiberRuntime::~FiberRuntime()
{
  Stop();
}

unsigned FiberRuntime::Threads() const
{
  return static_cast<unsigned>(mImpl->mThreads.size());
}

void FiberRuntime::Spawn(std::function<void()> aBody)
{
  if (RuntimeThread* current = mImpl->Current()) {
    current->Spawn(std::move(aBody));
    return;
  }
  const unsigned turn = mImpl->mNextThread.fetch_add(1);
  SpawnOn(turn % Threads(), std::move(aBody));
}

void FiberRuntime::SpawnOn(unsigned aThread, std::function<void()> aBody)
{
  mImpl->mThreads[aThread]->Spawn(std::move(aBody));
}

void FiberRuntime::RunAndWait(std::function<void()> aBody)
{
  if (mImpl->mStopped.load()) {
    throw std::logic_error("the runtime has been stopped");
  }
  // Shared ownership, since set_value() may still run after get() returns.
  const auto done = std::make_shared<std::promise<void>>();
  Spawn([&aBody, done] {
    try {
      aBody();
    } catch (...) {
      done->set_exception(std::current_exception());
      return;
    }
    done->set_value();
  });
  done->get_future().get();
}

void FiberRuntime::Stop()
{
  if (mImpl->mStopped.exchange(true)) {
    return;
  }
  for (const auto& thread : mImpl->mThreads) {
    thread->RequestStop();
  }
  for (const auto& thread : mImpl->mThreads) {
    thread->AwaitStop();
  }
}

} // namespace foxtailbarrow::net
