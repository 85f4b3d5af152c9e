#pragma once

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct BackoffLimits
{
  Duration mMin = std::chrono::milliseconds(100);
  Duration mMax = std::chrono::seconds(5);
};

/// Exponential backoff with jitter. Each wait is uniform between the minimum
/// and a ceiling that doubles with each failure, so that processes that lose
/// the store at the same time do not reconnect at the same time. Pure:
/// randomness is passed in.
class Backoff
{
public:
  explicit Backoff(BackoffLimits aLimits);

  /// The wait before the next attempt.
  Duration Next(absl::BitGenRef aRandom);

  /// Call after a success.
  void Reset() { mCeiling = mLimits.mMin; }

private:
  BackoffLimits mLimits;
  Duration mCeiling;
};

} // namespace foxtailbarrow
