#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Learns the mean time between two requests that leave a queue, counting only
/// the times at which others were waiting: then it is the time that the backend
/// servers need for one.
class DequeueRate
{
public:
  /// A request leaves at `aNow`; `aBacklog`: others stay behind.
  void OnDequeued(Instant aNow, bool aBacklog);

  /// kDefaultInterval until two have left from a backlog.
  Duration Interval() const;

  /// Enough have left for the mean to mean something.
  bool HasEnoughSamples() const { return mSamples == kSampleWindow; }

  static constexpr Duration kDefaultInterval = std::chrono::milliseconds(1);
  static constexpr int kSampleWindow = 64;

private:
  double mMeanMicros = 0;
  Instant mLast{};
  int mSamples = 0; ///< Up to kSampleWindow.
  bool mHadBacklog = false;
};

} // namespace foxtailbarrow
