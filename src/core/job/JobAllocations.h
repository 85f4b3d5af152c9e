#pragma once

#include <vector>

#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Resources.h"
#include "src/core/job/JobEntry.h"
#include "src/core/placement/PlacementLoad.h"
#include "src/core/placement/QuotaTracker.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// Tracks what each job occupies: quota of its customer, capacity of its worker
/// and capacity that the agent has not reported as reserved yet. At most one
/// allocation per job.
class JobAllocations
{
public:
  /// Allocates capacity that the agent does not know of yet.
  void Reserve(JobEntry& aEntry, WorkerSlot aWorker, const Resources& aSize);

  /// Allocates for a job that was assigned before; its worker may be unknown.
  void Adopt(JobEntry& aEntry,
             std::optional<WorkerSlot> aWorker,
             const Resources& aSize);

  /// The capacity reported by the agent now includes the job, with this size.
  void Confirm(JobEntry& aEntry, WorkerSlot aWorker, const Resources& aSize);

  /// Ends the job's allocation, if any.
  void Release(JobEntry& aEntry);

  /// Jobs allocated on the worker, in order of arrival.
  std::vector<JobEntry*> JobsOn(WorkerSlot aWorker) const;

  WorkerIndex& Workers() { return mWorkers; }
  const WorkerIndex& Workers() const { return mWorkers; }
  QuotaTracker& Quotas() { return mQuotas; }
  const QuotaTracker& Quotas() const { return mQuotas; }
  const PlacementLoad& Load() const { return mLoad; }

private:
  void Allocate(JobEntry& aEntry, const Allocation& aAllocation);

  WorkerIndex mWorkers;
  QuotaTracker mQuotas;
  PlacementLoad mLoad;
  std::vector<absl::flat_hash_set<JobEntry*>> mJobsByWorker; ///< By worker.
};

} // namespace foxtailbarrow
