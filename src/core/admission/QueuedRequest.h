#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "src/core/admission/AdmissionDecision.h"

namespace foxtailbarrow {

/// A request that waits for a slot.
struct QueuedRequest
{
  std::uint64_t mHandle = 0; ///< The shell's own name for it.
  CustomerId mCustomer;
  double mWeight = 1; ///< Of the customer, above 0: its contract's concurrency.
  Instant mDeadline = Instant::max();
  bool mBatch = false; ///< Waits behind every latency-critical request.
  double mJitter = 0;  ///< Uniform in 0..1, for Retry-After.
};

/// A request that is given up: to be answered now.
struct QueueRefusal
{
  std::uint64_t mHandle = 0;
  Refuse mRefuse;
};

/// What a queue hands out for a slot that became free.
struct QueuePop
{
  std::optional<QueuedRequest> mNext; ///< None when the queue is empty.
  std::vector<QueueRefusal> mRefused;
};

struct QueueSettings
{
  std::size_t mCapacity = 1024;
};

} // namespace foxtailbarrow
