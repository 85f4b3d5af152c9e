#pragma once

#include <algorithm>

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Time.h"
#include "src/core/retry/Jitter.h"

namespace foxtailbarrow {

/// Pauses between the attempts of one loop: the bound doubles with each attempt
/// and the pause is drawn below it ("full jitter"), so that processes which
/// failed together neither retry together nor load what they call more the
/// longer it is away. Does no I/O.
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aLongest)
    : mFirst(aFirst)
    , mLongest(aLongest)
    , mBound(aFirst)
  {
  }

  /// Pause before the next attempt.
  Duration Next(absl::BitGenRef aRandom)
  {
    const Duration pause = Jitter(kShortest, mBound, aRandom);
    mBound = std::min(2 * mBound, mLongest);
    return pause;
  }

  /// An attempt succeeded.
  void Reset() { mBound = mFirst; }

private:
  static constexpr Duration kShortest = std::chrono::milliseconds(1);

  Duration mFirst;
  Duration mLongest;
  Duration mBound;
};

} // namespace foxtailbarrow
