#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Wakes a fiber that works in rounds. Pokes between two rounds count as one.
class Poke
{
public:
  void Now()
  {
    {
      const std::lock_guard lock(mMutex);
      mPoked = true;
    }
    mChanged.notify_one();
  }

  /// Returns at the next poke, at once when one came since the last return, or
  /// after `aLongest`.
  void Wait(Duration aLongest)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, aLongest, [this] { return mPoked; });
    mPoked = false;
  }

private:
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  bool mPoked = false;
};

} // namespace foxtailbarrow
