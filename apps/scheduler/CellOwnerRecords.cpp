#include "apps/scheduler/CellOwner.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <span>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Pause before a failed write is retried.
constexpr Duration kSaveRetry = std::chrono::milliseconds(100);
/// Tasks that end within this time are saved in one transaction.
constexpr Duration kSaveBatchDelay = std::chrono::milliseconds(15);
/// A transaction is limited to 32 compares and writes: one for the cell's
/// record and two per saved job, three per deleted one.
constexpr std::size_t kJobsPerSave = 15;
constexpr Duration kCleanupPause = std::chrono::seconds(10);
constexpr std::size_t kDeletesPerTransaction = 10;
/// Between two transactions of a cleanup, so that it uses few of the store's
/// writes.
constexpr Duration kCleanupTransactionPause = std::chrono::milliseconds(100);
/// Larger transactions are split, unless they have one record.
constexpr std::size_t kMaxBatchBytes = 512UL * 1024;

} // namespace

void CellOwner::RunProgressSaves()
{
  while (!mEnded) {
    if (!mLogic.HasUnsavedJobs()) {
      mSaveWaker.Wait(std::chrono::seconds(1));
      continue;
    }
    boost::this_fiber::sleep_for(kSaveBatchDelay);
    if (!mEnded && !SaveBatch()) {
      boost::this_fiber::sleep_for(kSaveRetry);
    }
  }
}

bool CellOwner::SaveBatch()
{
  const Instant begin = MonotonicNow();
  std::vector<UnsavedProgress> batch = mLogic.UnsavedJobs(kJobsPerSave);
  if (batch.empty()) {
    return true;
  }
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  std::size_t bytes = 0;
  for (const UnsavedProgress& job : batch) {
    const std::string key = ProgressKey(job.mJob);
    std::string text = ToJsonText(job.mProgress);
    bytes += text.size();
    if (bytes > kMaxBatchBytes && !transaction.mWrites.empty()) {
      break;
    }
    transaction.mCompares.push_back({ key, job.mRevision });
    transaction.mWrites.push_back({ key, std::move(text) });
    // Until the answer the store may show progress that this owner does not.
    mLogic.OnProgressSaveInDoubt(job.mJob);
  }
  batch.resize(transaction.mWrites.size());
  const Instant sentAt = MonotonicNow();
  mLoad.RecordWork(OwnerWork::Records, sentAt - begin);
  const auto result = mParts.mStore.Commit(transaction);
  if (mEnded) {
    return false;
  }
  mLoad.RecordWait(OwnerWait::Record, MonotonicNow() - batch.front().mSince);
  if (!result.ok()) {
    LogWarning("record-failed",
               { { "jobs", batch.size() },
                 { "verdict", ToString(VerdictOf(result.status())) },
                 { "error", result.status().ToString() } });
    return false;
  }
  if (!result->mApplied) {
    std::vector<SavedRevision> expected;
    expected.reserve(batch.size());
    for (const UnsavedProgress& job : batch) {
      expected.push_back({ job.mJob, job.mRevision });
    }
    OnConflict(expected, *result);
    return false;
  }
  mTerm.Confirm(sentAt);
  ++mCounters.mSaves;
  for (const UnsavedProgress& job : batch) {
    mLogic.OnProgressSaved(job.mJob, job.mVersion, result->mRevision);
  }
  mScheduleWaker.Wake();
  return true;
}

/// A condition of the transaction failed: either another owner has the cell, or
/// an earlier write of this owner was applied although its reply was lost.
void CellOwner::OnConflict(std::span<const SavedRevision> aExpected,
                           const StoreTransactionResult& aResult)
{
  std::map<std::string, Revision> current;
  for (const StoreEntry& entry : aResult.mCurrent) {
    current[entry.mKey] = entry.mModRevision;
  }
  if (const auto cell = current.find(std::string(kCellKey));
      cell == current.end() || cell->second != mTerm.CellRevision()) {
    LogWarning("cell-superseded", { { "generation", mTerm.OwnGeneration() } });
    mParts.mOnSuperseded();
    return;
  }
  for (const SavedRevision& job : aExpected) {
    const auto found = current.find(ProgressKey(job.mJob));
    const Revision revision = found == current.end() ? 0 : found->second;
    if (revision != job.mRevision) {
      LogChange("record-conflict",
                { { "job", job.mJob },
                  { "expected", job.mRevision },
                  { "found", revision } });
      mLogic.SetProgressRevision(job.mJob, revision);
    }
  }
}

void CellOwner::RunCleanup()
{
  while (!mEnded) {
    boost::this_fiber::sleep_for(kCleanupPause);
    if (mEnded) {
      return;
    }
    // A submission of the job that is still on its way must find its record.
    const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(mParts.mKeepEnded, kLateCallTime));
    const std::vector<JobId> ended =
      mLogic.EndedBefore(UnixMsNow() - keep.count());
    std::span<const JobId> left = ended;
    while (!left.empty() && !mEnded) {
      const auto next =
        left.first(std::min(left.size(), kDeletesPerTransaction));
      if (!DeleteJobs(next)) {
        break;
      }
      left = left.subspan(next.size());
      boost::this_fiber::sleep_for(kCleanupTransactionPause);
    }
  }
}

/// Returns false if the store did not delete them, so far as is known.
bool CellOwner::DeleteJobs(std::span<const JobId> aJobs)
{
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  std::vector<SavedRevision> saved;
  saved.reserve(aJobs.size());
  for (const JobId& job : aJobs) {
    saved.push_back({ job, mLogic.Jobs().at(job).mProgressRevision });
    // Otherwise a late delete could remove a job that was submitted since.
    transaction.mCompares.push_back(
      { ProgressKey(job), saved.back().mRevision });
    transaction.mWrites.push_back({ JobKey(job), std::nullopt });
    transaction.mWrites.push_back({ ProgressKey(job), std::nullopt });
  }
  const auto result = mParts.mStore.Commit(transaction);
  if (mEnded) {
    return false;
  }
  if (!result.ok() || !result->mApplied) {
    LogWarning(
      "ended-jobs-kept",
      { { "jobs", aJobs.size() }, { "error", result.status().ToString() } });
    if (result.ok()) {
      OnConflict(saved, *result);
    }
    return false;
  }
  LogChange("ended-jobs-deleted", { { "jobs", aJobs.size() } });
  for (const JobId& job : aJobs) {
    mLogic.DropJob(job);
  }
  return true;
}

} // namespace foxtailbarrow::scheduler
