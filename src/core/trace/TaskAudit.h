#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// One stretch of time for which a worker ran a job.
struct TaskRun
{
  std::string mJob;
  Instant mFrom{};
  Instant mUntil{}; ///< Exclusive; Instant::max() while it still runs.
};

/// Jobs of which two runs overlap, wherever they ran. The times must come from
/// one clock. A run that begins when another ends does not overlap it.
std::vector<std::string> FindOverlappingJobs(std::span<const TaskRun> aRuns);

} // namespace foxtailbarrow
