#pragma once

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Job.h"

namespace foxtailbarrow {

/// A job's record as the store holds it.
struct StoredJob
{
  JobRecord mRecord;
  Revision mRevision = 0; ///< Mod revision of its key.
};

} // namespace foxtailbarrow
