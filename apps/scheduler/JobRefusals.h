#pragma once

#include "absl/status/status.h"

#include "src/core/cell/JobRequest.h"

namespace foxtailbarrow::scheduler {

/// Nothing was done and nothing will be: the store could not be asked.
cell::JobRefused StoreUnavailable(const absl::Status& aStatus);

/// A write was sent, and its answer is lost.
cell::JobRefused FateUnknown(const absl::Status& aStatus);

} // namespace foxtailbarrow::scheduler
