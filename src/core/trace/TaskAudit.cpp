#include "src/core/trace/TaskAudit.h"

#include <algorithm>
#include <tuple>

namespace foxtailbarrow {

std::vector<std::string> FindOverlappingJobs(std::span<const TaskRun> aRuns)
{
  std::vector<const TaskRun*> runs;
  for (const TaskRun& run : aRuns) {
    runs.push_back(&run);
  }
  std::ranges::sort(runs, {}, [](const TaskRun* aRun) {
    return std::tie(aRun->mJob, aRun->mFrom);
  });
  std::vector<std::string> overlapping;
  Instant latestEnd = Instant::min();
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const bool isFirst = i == 0 || runs[i - 1]->mJob != runs[i]->mJob;
    if (isFirst) {
      latestEnd = Instant::min();
    }
    if (runs[i]->mFrom < latestEnd &&
        (overlapping.empty() || overlapping.back() != runs[i]->mJob)) {
      overlapping.push_back(runs[i]->mJob);
    }
    latestEnd = std::max(latestEnd, runs[i]->mUntil);
  }
  return overlapping;
}

} // namespace foxtailbarrow
