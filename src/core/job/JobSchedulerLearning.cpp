#include <algorithm>

#include "src/core/job/JobScheduler.h"

/// The part of JobScheduler that learns from the usage and the ends of tasks.
namespace foxtailbarrow {

namespace {

/// Occurs in the reason text of a task that the worker stopped for using more
/// memory than reserved.
constexpr std::string_view kMemoryWord = "memory";

bool IsMemoryOverrun(const TaskStatus& aEnd)
{
  return aEnd.mState == TaskState::Failed &&
         aEnd.mReason.find(kMemoryWord) != std::string::npos;
}

} // namespace

ProgramKey JobScheduler::ProgramOf(const JobEntry& aEntry) const
{
  return { aEntry.Spec().mCustomer, aEntry.Spec().mProgram };
}

Resources JobScheduler::SizeOf(const JobEntry& aEntry) const
{
  if (!mSettings.mLearnSizes) {
    return aEntry.Spec().mDeclared;
  }
  return mSizes.Estimate(ProgramOf(aEntry), aEntry.Spec().mDeclared);
}

void JobScheduler::OnUsage(std::span<const UsageSample> aSamples)
{
  for (const UsageSample& sample : aSamples) {
    JobEntry* entry = mTable.Find(sample.mKey.mJob);
    // Ignore late samples of earlier assignments.
    if (entry == nullptr || entry->Key() != sample.mKey) {
      continue;
    }
    Resources& peak = entry->mPeak;
    peak.mMillicores = std::max(peak.mMillicores, sample.mUsed.mMillicores);
    peak.mMemoryMb = std::max(peak.mMemoryMb, sample.mUsed.mMemoryMb);
  }
}

/// Updates the learned sizes and worker statistics with the reported end.
void JobScheduler::RecordOutcome(JobEntry& aEntry, CallContext& aContext)
{
  const TaskStatus& end = *aEntry.mEnd;
  RunObservation run;
  run.mReserved = end.mReserved;
  run.mPeak = aEntry.mPeak;
  run.mFinished = end.mState == TaskState::Finished;
  run.mMemoryOverrun = IsMemoryOverrun(end);
  if (aEntry.mStartedAt != Instant{}) {
    run.mRunTime = aContext.mNow - aEntry.mStartedAt;
  }
  mSizes.Observe(ProgramOf(aEntry), run);
  const auto slot = mAllocations.Workers().SlotOf(*aEntry.Record().mAgent);
  if (!slot || run.mMemoryOverrun) {
    return;
  }
  if (run.mFinished) {
    mQuarantinePolicy.OnSuccess(*slot, ProgramOf(aEntry), aContext.mNow);
  } else if (end.mState == TaskState::Failed) {
    RecordWorkerFailure(aEntry, *slot, aContext);
  }
}

void JobScheduler::RecordWorkerFailure(JobEntry& aEntry,
                                       WorkerSlot aSlot,
                                       CallContext& aContext)
{
  WorkerIndex& workers = mAllocations.Workers();
  const bool quarantine = mQuarantinePolicy.OnFailure(
    aSlot, aEntry.Spec().mId, ProgramOf(aEntry), workers.Size(), aContext.mNow);
  if (quarantine) {
    ++mCounters.mQuarantined;
    workers.SetQuarantined(aSlot, true);
  }
  Avoid(aEntry, aSlot);
  if (workers.At(aSlot).mQuarantined) {
    // The failure is attributed to the worker: it costs the job no attempt.
    aEntry.mEnd->mState = TaskState::Stopped;
    aEntry.mEnd->mReason = ToString(Reason::Quarantined);
    RecordDecision(aEntry, Reason::Quarantined, aContext, aSlot);
  }
}

} // namespace foxtailbarrow
