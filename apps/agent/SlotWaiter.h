#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Lets a fiber wait until another one, possibly on another thread, grants it a
/// slot.
class SlotWaiter
{
public:
  void Grant()
  {
    {
      const std::lock_guard lock(mMutex);
      mGranted = true;
    }
    mChanged.notify_one();
  }

  /// False if no slot was granted by `aUntil`.
  bool WaitUntil(Instant aUntil)
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_until(lock, aUntil, [this] { return mGranted; });
  }

private:
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  bool mGranted = false;
};

} // namespace foxtailbarrow
