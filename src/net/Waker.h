#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Wakes a fiber that runs periodically: an auto-reset event. Several Wake()
/// calls between two waits count as one.
class Waker
{
public:
  void Wake()
  {
    {
      const std::lock_guard lock(mMutex);
      mWoken = true;
    }
    mChanged.notify_one();
  }

  /// Returns at the next Wake(), immediately if there was one since the last
  /// Wait(), or after `aTimeout`.
  void Wait(Duration aTimeout)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, aTimeout, [this] { return mWoken; });
    mWoken = false;
  }

private:
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  bool mWoken = false;
};

} // namespace foxtailbarrow
