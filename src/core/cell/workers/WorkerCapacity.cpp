#include "src/core/cell/workers/WorkerCapacity.h"

namespace foxtailbarrow::cell {

double ReservedShare(const WorkerEntry& aWorker)
{
  const Resources& capacity = aWorker.mInfo.mCapacity;
  if (capacity.mMillicores == 0) {
    return 1.0;
  }
  return static_cast<double>(aWorker.mUse.mReserved.mMillicores) /
         static_cast<double>(capacity.mMillicores);
}

Resources Reservation(const StepSpec& aSpec)
{
  Resources reserved = aSpec.mDemand;
  if (aSpec.mBestEffort) {
    reserved.mMillicores = 0;
  }
  return reserved;
}

void CountUse(WorkerUse& aUse,
              const JobId& aJob,
              const StepSpec& aSpec,
              int aSign)
{
  if (aSign > 0) {
    aUse.mReserved += Reservation(aSpec);
  } else {
    aUse.mReserved -= Reservation(aSpec);
  }
  const std::int64_t millicores = aSign * aSpec.mDemand.mMillicores;
  if (aSpec.mBestEffort) {
    aUse.mBestEffort += millicores;
    if ((aUse.mBestEffortByImage[aSpec.mImage] += millicores) == 0) {
      aUse.mBestEffortByImage.erase(aSpec.mImage);
    }
  }
  if (aSpec.mStanding) {
    aUse.mStanding += millicores;
  }
  if (aSpec.mLatencyTarget > Duration::zero()) {
    ServingUse& serving = aUse.mServing[aJob];
    serving.mImage = aSpec.mImage;
    if ((serving.mTasks += aSign) == 0) {
      aUse.mServing.erase(aJob);
    }
  }
}

double BestEffortMillicores(const WorkerEntry& aWorker,
                            const CellSettings& aSettings)
{
  const auto standing = static_cast<double>(aWorker.mUse.mStanding);
  const auto reserved = static_cast<double>(aWorker.mUse.mReserved.mMillicores);
  const double used = reserved - standing * (1.0 - aSettings.mStandingUseShare);
  return static_cast<double>(aWorker.mInfo.mCapacity.mMillicores) - used;
}

std::int64_t CapacityOf(const WorkerTable& aWorkers)
{
  std::int64_t capacity = 0;
  for (const auto& [id, worker] : aWorkers) {
    if (worker.mLink == WorkerLink::Attached) {
      capacity += worker.mInfo.mCapacity.mMillicores;
    }
  }
  return capacity;
}

double ReservedShareOf(const WorkerTable& aWorkers)
{
  std::int64_t reserved = 0;
  const std::int64_t capacity = CapacityOf(aWorkers);
  for (const auto& [id, worker] : aWorkers) {
    if (worker.mLink == WorkerLink::Attached) {
      reserved += worker.mUse.mReserved.mMillicores;
    }
  }
  return capacity == 0
           ? 0.0
           : static_cast<double>(reserved) / static_cast<double>(capacity);
}

} // namespace foxtailbarrow::cell
