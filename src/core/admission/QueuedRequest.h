#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "src/core/admission/AdmissionDecision.h"

namespace foxtailbarrow {

/// A request waiting for a slot.
struct QueuedRequest
{
  std::uint64_t mHandle = 0; ///< Identifies the request to the caller.
  CustomerId mCustomer;
  double mWeight = 1; ///< Of the customer, above 0: its contract's concurrency.
  Instant mDeadline = Instant::max();
  bool mBatch = false; ///< Served after all latency-critical requests.
  double mJitter = 0;  ///< Uniform in 0..1, for Retry-After.
};

/// A refused request, to be answered now.
struct QueueRefusal
{
  std::uint64_t mHandle = 0;
  Refuse mRefuse;
};

/// Result of dequeuing a request for a free slot.
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
