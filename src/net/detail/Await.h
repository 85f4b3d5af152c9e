#pragma once

#include <chrono>
#include <cstddef>
#include <new>

#include <boost/fiber/context.hpp>

#include "src/net/detail/Asio.h"

namespace foxtailbarrow::net::detail {

/// State of an asynchronous operation that a fiber waits for. Placed on the
/// fiber's stack; also provides the memory for Asio's operation, so that a wait
/// does not allocate.
class AwaitState
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void* Allocate(std::size_t aBytes)
  {
    if (mMemoryUsed || aBytes > kMemoryBytes) {
      return ::operator new(aBytes);
    }
    mMemoryUsed = true;
    return mMemory;
  }

  void Deallocate(void* aMemory)
  {
    if (aMemory == mMemory) {
      mMemoryUsed = false;
      return;
    }
    ::operator delete(aMemory);
  }

  /// Called by the operation's handler, on the fiber's thread.
  void Complete(const ErrorCode& aError, std::size_t aBytes)
  {
    mError = aError;
    mBytes = aBytes;
    mDone = true;
    // The fiber may already be ready because its deadline passed.
    if (!mFiber->ready_is_linked()) {
      boost::fibers::context::active()->schedule(mFiber);
    }
  }

  /// Suspends the fiber until the operation completes. Calls `aCancel` at
  /// `aDeadline`, which must make the operation complete soon. Returns false if
  /// the operation was cancelled before it succeeded.
  template<typename Cancel>
  bool WaitUntil(TimePoint aDeadline, Cancel aCancel)
  {
    while (!mDone) {
      // Workaround for Boost.Fiber 1.74: if the fiber's last timed wait was
      // ended by a notification, the new deadline would never wake the fiber.
      mFiber->twstatus.store(0, std::memory_order_release);
      if (!mFiber->wait_until(aDeadline)) {
        break;
      }
    }
    if (mDone) {
      return true;
    }
    aCancel();
    while (!mDone) {
      mFiber->suspend();
    }
    return !mError;
  }

  const ErrorCode& Error() const { return mError; }
  std::size_t Bytes() const { return mBytes; }

private:
  static constexpr std::size_t kMemoryBytes = 256;

  boost::fibers::context* mFiber = boost::fibers::context::active();
  ErrorCode mError;
  std::size_t mBytes = 0;
  bool mDone = false;
  bool mMemoryUsed = false;
  alignas(std::max_align_t) std::byte mMemory[kMemoryBytes];
};

/// Asio allocator that uses the memory of an AwaitState.
template<typename T>
class AwaitAllocator
{
public:
  using value_type = T; // NOLINT(readability-identifier-naming)

  explicit AwaitAllocator(AwaitState& aState)
    : mState(&aState)
  {
  }
  template<typename U>
  AwaitAllocator(const AwaitAllocator<U>& aOther)
    : mState(aOther.State())
  {
  }

  // NOLINTBEGIN(readability-identifier-naming): names required by the standard.
  T* allocate(std::size_t aCount)
  {
    return static_cast<T*>(mState->Allocate(sizeof(T) * aCount));
  }
  void deallocate(T* aMemory, std::size_t) { mState->Deallocate(aMemory); }
  // NOLINTEND(readability-identifier-naming)

  AwaitState* State() const { return mState; }

  template<typename U>
  bool operator==(const AwaitAllocator<U>& aOther) const
  {
    return mState == aOther.State();
  }

private:
  AwaitState* mState;
};

/// Completion handler that resumes the fiber of an AwaitState.
class AwaitHandler
{
public:
  using allocator_type = // NOLINT(readability-identifier-naming)
    AwaitAllocator<void*>;

  explicit AwaitHandler(AwaitState& aState)
    : mState(&aState)
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming): name required by Asio.
  allocator_type get_allocator() const { return allocator_type(*mState); }

  void operator()(const ErrorCode& aError, std::size_t aBytes = 0) const
  {
    mState->Complete(aError, aBytes);
  }

private:
  AwaitState* mState;
};

} // namespace foxtailbarrow::net::detail
