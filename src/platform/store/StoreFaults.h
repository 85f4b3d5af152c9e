#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Faults that a test store injects.
struct StoreFaults
{
  bool mOutage = false;               ///< No call takes effect; watches break.
  Duration mDelay{};                  ///< Added to each call before its effect.
  std::uint64_t mLoseReplies = 0;     ///< Next writes: applied, not answered.
  std::uint64_t mWritesPerSecond = 0; ///< More are refused. 0 = no limit.
  std::uint64_t mReadsPerSecond = 0;  ///< More are refused. 0 = no limit.
};

} // namespace foxtailbarrow
