#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// A run of a job on a worker.
struct TaskRun
{
  std::string mJob;
  Instant mFrom{};
  Instant mUntil{}; ///< Exclusive; Instant::max() while it still runs.
};

/// Finds the jobs with overlapping runs on any workers. All times must come
/// from the same clock. A run that begins when another one ends does not
/// overlap it.
std::vector<std::string> FindOverlappingJobs(std::span<const TaskRun> aRuns);

} // namespace foxtailbarrow
