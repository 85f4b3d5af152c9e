#include "src/core/placement/QuarantinePolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

QuarantinePolicy::WorkerRecord& QuarantinePolicy::RecordOf(WorkerSlot aWorker,
                                                           Instant aNow)
{
  WorkerRecord& record = mWorkers[aWorker];
  if (aNow >= record.mWindowEnds) {
    ResetWindow(record);
    record.mWindowEnds = aNow + mSettings.mWindow;
  }
  return record;
}

/// Starts a new window for a worker and subtracts its runs from the totals.
void QuarantinePolicy::ResetWindow(WorkerRecord& aRecord)
{
  for (const auto& [program, tally] : aRecord.mPrograms) {
    const auto total = mPrograms.find(program);
    total->second.mRuns -= tally.mRuns;
    total->second.mFailures -= tally.mFailures;
    if (total->second.mRuns < 1.0) {
      mPrograms.erase(total);
    }
  }
  aRecord.mPrograms.clear();
  aRecord.mFailedJobs.clear();
}

void QuarantinePolicy::OnSuccess(WorkerSlot aWorker,
                                 const ProgramKey& aProgram,
                                 Instant aNow)
{
  ++RecordOf(aWorker, aNow).mPrograms[aProgram].mRuns;
  ++mPrograms[aProgram].mRuns;
}

bool QuarantinePolicy::OnFailure(WorkerSlot aWorker,
                                 const JobId& aJob,
                                 const ProgramKey& aProgram,
                                 std::size_t aWorkers,
                                 Instant aNow)
{
  WorkerRecord& record = RecordOf(aWorker, aNow);
  Tally& tally = record.mPrograms[aProgram];
  ++tally.mRuns;
  ++tally.mFailures;
  Tally& total = mPrograms[aProgram];
  ++total.mRuns;
  ++total.mFailures;
  record.mFailedJobs.insert(aJob);
  const double share = mSettings.mMaxShare * static_cast<double>(aWorkers);
  const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(share));
  if (record.mQuarantinedUntil || mQuarantined >= limit ||
      !ExceedsFailureBound(record)) {
    return false;
  }
  record.mPause = record.mPause == Duration{}
                    ? mSettings.mPause
                    : std::min(record.mPause * 2, mSettings.mMaxPause);
  record.mQuarantinedUntil = aNow + record.mPause;
  ++mQuarantined;
  return true;
}

/// True if the failures significantly exceed those expected from the failure
/// rates of the same programs on other workers.
bool QuarantinePolicy::ExceedsFailureBound(const WorkerRecord& aRecord) const
{
  // Prior for a program without data: a tenth of its runs fails.
  constexpr double kPriorFailures = 0.5;
  constexpr double kPriorRuns = 5.0;
  constexpr double kMinVariance = 0.5;
  constexpr double kProbationDivisor = 3.0;
  double excess = 0.0;
  double variance = kMinVariance;
  for (const auto& [program, tally] : aRecord.mPrograms) {
    const Tally& total = mPrograms.at(program);
    const double rate = (total.mFailures - tally.mFailures + kPriorFailures) /
                        (total.mRuns - tally.mRuns + kPriorRuns);
    excess += tally.mFailures - tally.mRuns * rate;
    variance += tally.mRuns * rate * (1.0 - rate);
  }
  const bool onProbation = aRecord.mPause != Duration{};
  const std::size_t jobs = onProbation ? 1 : mSettings.mDistinctJobs;
  const double deviations =
    mSettings.mDeviations / (onProbation ? kProbationDivisor : 1.0);
  return aRecord.mFailedJobs.size() >= jobs &&
         excess >= deviations * std::sqrt(variance);
}

std::vector<WorkerSlot> QuarantinePolicy::EndQuarantines(Instant aNow)
{
  std::vector<WorkerSlot> released;
  if (mQuarantined == 0) {
    return released;
  }
  for (auto& [worker, record] : mWorkers) {
    if (record.mQuarantinedUntil && aNow >= *record.mQuarantinedUntil) {
      record.mQuarantinedUntil.reset();
      ResetWindow(record);
      --mQuarantined;
      released.push_back(worker);
    }
  }
  std::ranges::sort(released);
  return released;
}

} // namespace foxtailbarrow
