#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "src/net/FiberRuntime.h"
#include "src/net/detail/RuntimeThread.h"

namespace foxtailbarrow::net {

struct FiberRuntime::Impl
{
  std::vector<std::shared_ptr<detail::RuntimeThread>> mThreads;
  std::atomic<unsigned> mNextThread{ 0 };
  std::atomic<bool> mStopped{ false };

  /// The calling thread if it belongs to this runtime, else nullptr.
  detail::RuntimeThread* Current() const
  {
    detail::RuntimeThread* current = detail::RuntimeThread::Current();
    return current != nullptr && current->Owner() == this ? current : nullptr;
  }
};

} // namespace foxtailbarrow::net
