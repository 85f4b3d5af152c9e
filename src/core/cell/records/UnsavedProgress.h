#pragma once

#include <cstdint>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobEntry.h"

namespace foxtailbarrow::cell {

/// A job's progress that the store does not have yet.
struct UnsavedProgress
{
  JobId mJob;
  std::uint64_t mVersion = 0;
  StoredProgress mProgress;
  Revision mRevision = 0; ///< Of the record that it replaces; 0 = none.
  Instant mSince{};       ///< Since when the stored progress is older.
};

} // namespace foxtailbarrow::cell
