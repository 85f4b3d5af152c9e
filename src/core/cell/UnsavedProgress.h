#pragma once

#include <cstdint>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobEntry.h"

namespace foxtailbarrow::cell {

/// A change of a job's progress that the store does not have yet.
struct UnsavedProgress
{
  JobId mJob;
  std::uint64_t mVersion = 0;
  StoredProgress mProgress;
  Revision mRevision = 0; ///< Of the record that it replaces; 0 = none.
  Instant mSince{};       ///< Since when the store lacks a part of it.
};

} // namespace foxtailbarrow::cell
