#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Faults that a store for tests brings about on request.
struct StoreFaults
{
  bool mOutage = false;               ///< No call takes effect; watches break.
  Duration mDelay{};                  ///< Added to each call before its effect.
  std::uint64_t mLoseReplies = 0;     ///< Next writes: applied, never answered.
  std::uint64_t mWritesPerSecond = 0; ///< Beyond: refused. 0 = no ceiling.
  std::uint64_t mReadsPerSecond = 0;  ///< Beyond: refused. 0 = no ceiling.
};

} // namespace foxtailbarrow
