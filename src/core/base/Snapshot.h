#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace foxtailbarrow {

/// Read-copy-update holder of an immutable value: a writer publishes whole new
/// values, any number of threads read the newest.
///
/// Load() costs one atomic read of a version and one increment of a reference
/// count that only the calling thread's readers share: each thread keeps its
/// own handle with its own reference count, and renews it under a short lock
/// only after a Publish().
///
/// A loaded value stays valid as long as the returned pointer is held, also
/// while a fiber is suspended, and never changes. It is freed once no returned
/// pointer refers to it and every thread that loaded it has loaded a later one,
/// has ended, or (after the Snapshot's end) has loaded any other Snapshot<T>
/// for the first time. So a thread that stops reading keeps one old value
/// alive. Fibers must stay on their thread, as those of FiberRuntime do.
template<typename T>
class Snapshot
{
public:
  using Pointer = std::shared_ptr<const T>;

  /// `aInitial` must not be null.
  explicit Snapshot(Pointer aInitial)
    : mState(std::make_shared<State>(std::move(aInitial)))
  {
  }

  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  /// Replaces the value. Loads that begin after the return see it. Callable
  /// from any thread; concurrent publishers must order their calls.
  void Publish(Pointer aNext)
  {
    {
      const std::lock_guard lock(mState->mMutex);
      mState->mValue.swap(aNext);
      mState->mVersion.fetch_add(1, std::memory_order_release);
    }
    // The old value is released here, outside the lock.
  }

  /// The newest value. Never null.
  Pointer Load() const
  {
    Handle& handle = HandleOf(mState);
    if (const auto version = mState->mVersion.load(std::memory_order_acquire);
        handle.mVersion != version) {
      Renew(handle);
    }
    return handle.mValue;
  }

private:
  struct State
  {
    explicit State(Pointer aValue)
      : mValue(std::move(aValue))
    {
    }

    std::mutex mMutex; ///< Never held while a fiber is suspended.
    Pointer mValue;
    std::atomic<std::uint64_t> mVersion{ 1 };
  };

  /// One thread's handle of one Snapshot. The weak pointer keeps the State's
  /// memory allocated, so that its address is not reused after its end.
  struct Handle
  {
    std::weak_ptr<State> mOwner;
    const State* mKey = nullptr;
    std::uint64_t mVersion = 0;
    Pointer mValue;
  };

  static Handle& HandleOf(const std::shared_ptr<State>& aState)
  {
    static thread_local std::vector<Handle> sHandles;
    for (Handle& handle : sHandles) {
      if (handle.mKey == aState.get()) {
        return handle;
      }
    }
    std::erase_if(
      sHandles, [](const Handle& aHandle) { return aHandle.mOwner.expired(); });
    return sHandles.emplace_back(Handle{ aState, aState.get(), 0, nullptr });
  }

  void Renew(Handle& aHandle) const
  {
    Pointer shared;
    {
      const std::lock_guard lock(mState->mMutex);
      shared = mState->mValue;
      aHandle.mVersion = mState->mVersion.load(std::memory_order_relaxed);
    }
    const T* value = shared.get();
    aHandle.mValue = Pointer(
      value, [keep = std::move(shared)](const T*) mutable { keep.reset(); });
  }

  std::shared_ptr<State> mState;
};

} // namespace foxtailbarrow
