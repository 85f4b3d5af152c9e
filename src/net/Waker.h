#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Wakes a fiber that works in rounds. Calls between two rounds count as one.
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

  /// Returns at the next waker, at once when one came since the last return, or
  /// after `aLongest`.
  void Wait(Duration aLongest)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, aLongest, [this] { return mWoken; });
    mWoken = false;
  }

private:
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  bool mWoken = false;
};

} // namespace foxtailbarrow
