#include <utility>

#include "src/core/cell/CellScheduler.h"

/// Cordons: failure domains in which the operator wants nothing started.
namespace foxtailbarrow::cell {

void CellScheduler::SetCordonedDomains(std::set<FailureDomainId> aDomains,
                                       const CellClock& aClock)
{
  mCordonedDomains = std::move(aDomains);
  for (auto& [id, worker] : mWorkers) {
    UpdateCordon(worker, aClock);
  }
}

void CellScheduler::UpdateCordon(WorkerEntry& aWorker, const CellClock& aClock)
{
  const FailureDomainId& domain = aWorker.mInfo.mFailureDomain;
  const bool cordoned = mCordonedDomains.contains(domain);
  if (cordoned == std::exchange(aWorker.mCordoned, cordoned)) {
    return;
  }
  mNeedsPlacement = true;
  LogDecision(cordoned ? "worker-cordoned" : "worker-uncordoned",
              {},
              aWorker.mId,
              aWorker.mSession,
              domain.Value());
  if (cordoned) {
    WithdrawUnsentStarts(aWorker, "cordoned", aClock);
  }
}

void CellScheduler::WithdrawUnsentStarts(WorkerEntry& aWorker,
                                         std::string_view aReason,
                                         const CellClock& aClock)
{
  const auto runs = aWorker.mRuns;
  for (const auto& [task, number] : runs) {
    JobEntry& job = mJobs.at(task.mJob);
    const TaskRun* run = job.FindRun(task, aWorker.mId, number);
    // A run is missing once it was removed together with its gang.
    if (run == nullptr || run->mSent || run->mPhase != RunPhase::Ordered) {
      continue;
    }
    LogDecision("task-start-withdrawn", task, aWorker.mId, number, aReason);
    RemoveRun(job, task, aWorker.mId, number, aClock);
    StopGang(job, task, number, aClock);
  }
}

} // namespace foxtailbarrow::cell
