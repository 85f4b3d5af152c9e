#pragma once

#include <atomic>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::net {

/// Time that went into messages' text: parsing, formatting, checking fields.
/// Callable from any thread.
class CodecTimer
{
public:
  void Add(Duration aSpent) { mSpent.fetch_add(aSpent.count()); }
  Duration Total() const { return Duration(mSpent.load()); }

  /// Runs `aWork`, which must not suspend its fiber, and adds its time.
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
