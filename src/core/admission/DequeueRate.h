#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Estimates the mean time between two dequeued requests. Counts an interval
/// only if the queue was not empty at its start, since it then shows how fast
/// the backend servers take requests.
class DequeueRate
{
public:
  /// A request was dequeued at `aNow`; `aBacklog`: the queue is not empty.
  void OnDequeued(Instant aNow, bool aBacklog);

  /// kDefaultInterval before the first sample.
  Duration Interval() const;

  /// The mean covers a full sample window.
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
