#pragma once

#include <atomic>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::net {

/// Accumulates the time spent on parsing, formatting and validating messages.
/// Thread-safe.
class CodecTimer
{
public:
  void Add(Duration aSpent) { mSpent.fetch_add(aSpent.count()); }
  Duration Total() const { return Duration(mSpent.load()); }

  /// Runs `aWork`, which must not suspend its fiber, and adds its duration.
  template<typename Work>
  auto Measure(Work aWork)
  {
    const Instant begin = MonotonicNow();
    auto result = aWork();
    Add(MonotonicNow() - begin);
    return result;
  }

private:
  std::atomic<Duration::rep> mSpent{ 0 };
};

} // namespace foxtailbarrow::net
