#pragma once

#include <cstdint>

#include "absl/random/bit_gen_ref.h"
#include "absl/random/uniform_int_distribution.h"

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Uniform between `aFrom` and `aTo`, inclusive, so that callers refused at the
/// same time do not retry at the same time.
inline Duration Jitter(Duration aFrom, Duration aTo, absl::BitGenRef aRandom)
{
  absl::uniform_int_distribution<std::int64_t> draw(aFrom.count(), aTo.count());
  return Duration(draw(aRandom));
}

} // namespace foxtailbarrow
