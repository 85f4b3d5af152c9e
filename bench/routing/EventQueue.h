#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::bench {

/// Event loop in virtual time: runs actions ordered by time, and those of the
/// same time in insertion order.
class EventQueue
{
public:
  using Action = std::function<void()>;

  Instant Now() const { return mNow; }

  void At(Instant aTime, Action aAction)
  {
    mEvents.push({ aTime, mNext++, std::move(aAction) });
  }

  void After(Duration aDelay, Action aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }

  void RunUntil(Instant aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      Action action = std::move(const_cast<Event&>(mEvents.top()).mAction);
      mNow = mEvents.top().mTime;
      mEvents.pop();
      action();
    }
    mNow = aEnd;
  }

private:
  struct Event
  {
    Instant mTime;
    std::uint64_t mOrder;
    Action mAction;

    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.mTime, aOther.mOrder) < std::pair(mTime, mOrder);
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mNext = 0;
  std::priority_queue<Event> mEvents;
};

} // namespace foxtailbarrow::bench
