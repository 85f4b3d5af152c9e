#pragma once

#include "absl/status/status.h"

#include "src/core/cell/JobRequest.h"

namespace foxtailbarrow::scheduler {

/// The store could not be reached; the request has no effect, now or later.
cell::JobRefused StoreUnavailable(const absl::Status& aStatus);

/// A write was sent but got no answer; it may still be applied.
cell::JobRefused OutcomeUnknown(const absl::Status& aStatus);

} // namespace foxtailbarrow::scheduler
