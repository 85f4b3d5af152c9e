#include "src/core/placement/QuarantinePolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtailbarrow {

QuarantinePolicy::WorkerRecord& QuarantinePolicy::RecordOf(WorkerSlot aWorker,
                                                           Instant aNow)
{
  WorkerRecord& record = mWorkers[aWorker];
  if (aNow >= record.mWindowEnds) {
    Forget(record);
    record.mWindowEnds = aNow + mSettings.mWindow;
  }
  return record;
}

/// Starts a worker's window anew and takes its runs out of the totals.
void QuarantinePolicy::Forget(WorkerRecord& aRecord)
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

void QuarantinePolicy::Succeeded(WorkerSlot aWorker,
                                 const ProgramKey& aProgram,
                                 Instant aNow)
{
  ++RecordOf(aWorker, aNow).mPrograms[aProgram].mRuns;
  ++mPrograms[aProgram].mRuns;
}

bool QuarantinePolicy::Failed(WorkerSlot aWorker,
                              const JobId& aJob,
                              const ProgramKey& aProgram,
                              std::size_t aWorkers,
                              Instant aNow)
{
  WorkerRecord& record = RecordOf(aWorker, aNow);
  Tally& here = record.mPrograms[aProgram];
  ++here.mRuns;
  ++here.mFailures;
  Tally& total = mPrograms[aProgram];
  ++total.mRuns;
  ++total.mFailures;
  record.mFailedJobs.insert(aJob);
  const double share = mSettings.mMaxShare * static_cast<double>(aWorkers);
  const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(share));
  if (record.mUntil || mQuarantined >= limit || !ExceedsFailureBound(record)) {
    return false;
  }
  record.mPause = record.mPause == Duration{}
                    ? mSettings.mPause
                    : std::min(record.mPause * 2, mSettings.mMaxPause);
  record.mUntil = aNow + record.mPause;
  ++mQuarantined;
  return true;
}

/// True when the failures exceed those to expect, were the worker like all
/// others, by more than chance explains.
bool QuarantinePolicy::ExceedsFailureBound(const WorkerRecord& aRecord) const
{
  // Before anything is known of a program, a tenth of its runs may fail.
  constexpr double kPriorFailures = 0.5;
  constexpr double kPriorRuns = 5.0;
  constexpr double kMinVariance = 0.5;
  constexpr double kProbationDivisor = 3.0;
  double excess = 0.0;
  double variance = kMinVariance;
  for (const auto& [program, here] : aRecord.mPrograms) {
    const Tally& total = mPrograms.at(program);
    const double rate = (total.mFailures - here.mFailures + kPriorFailures) /
                        (total.mRuns - here.mRuns + kPriorRuns);
    excess += here.mFailures - here.mRuns * rate;
    variance += here.mRuns * rate * (1.0 - rate);
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
  std::vector<WorkerSlot> readmitted;
  if (mQuarantined == 0) {
    return readmitted;
  }
  for (auto& [worker, record] : mWorkers) {
    if (record.mUntil && aNow >= *record.mUntil) {
      record.mUntil.reset();
      Forget(record);
      --mQuarantined;
      readmitted.push_back(worker);
    }
  }
  std::ranges::sort(readmitted);
  return readmitted;
}

} // namespace foxtailbarrow
