#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"

#include "apps/scheduler/JobRefusals.h"
#include "apps/scheduler/JobRequestHandler.h"
#include "apps/scheduler/WriteRetries.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

/// Submissions and cancellations: the requests that change a job.
namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Interval of checks whether the store has become silent during a write.
constexpr Duration kSilencePoll = std::chrono::milliseconds(20);

/// A write that was sent to the store.
struct PendingWrite
{
  std::optional<absl::StatusOr<StoreTransactionResult>> mResult;
  Waker mDone;
};

/// A job whose record gives back another one, or none, would be lost with the
/// owner that has it in memory. Each scheduler reads it by the same rules.
absl::Status CheckReadable(std::string_view aText, const StoredJob& aJob)
{
  const auto read = FromJsonText<StoredJob>(aText);
  if (!read.ok()) {
    return absl::InvalidArgumentError(
      absl::StrCat("the job cannot be stored: ", read.status().message()));
  }
  return *read == aJob ? absl::OkStatus()
                       : absl::InvalidArgumentError(
                           "the job cannot be stored as it was submitted");
}

} // namespace

JobRefused JobRequestHandler::RefusalOf(const JobId& aJob, JobRefused aRefusal)
{
  if (aRefusal.mVerdict != Verdict::NotRun) {
    mOutage.MarkInDoubt(aJob, MonotonicNow());
  }
  aRefusal.mRetryAfter = RetryAfter();
  return aRefusal;
}

std::optional<JobRefused> JobRequestHandler::RefuseWhileSilent(
  const JobId& aJob)
{
  if (mStore.Answers()) {
    return std::nullopt;
  }
  const absl::Status silent =
    absl::UnavailableError("the store does not answer");
  JobRefused refusal = mOutage.InDoubt(aJob, MonotonicNow())
                         ? OutcomeUnknown(silent)
                         : StoreUnavailable(silent);
  refusal.mRetryAfter = RetryAfter();
  return refusal;
}

absl::StatusOr<StoreTransactionResult> JobRequestHandler::Commit(
  StoreTransaction aTransaction,
  std::function<void()> aOnApplied)
{
  const auto write = std::make_shared<PendingWrite>();
  mRuntime.Spawn([this,
                  write,
                  transaction = std::move(aTransaction),
                  onApplied = std::move(aOnApplied)] {
    write->mResult = mStore.Commit(transaction);
    if (write->mResult->ok() && (*write->mResult)->mApplied) {
      onApplied();
    }
    write->mDone.Wake();
  });
  while (!write->mResult) {
    write->mDone.Wait(kSilencePoll);
    if (!write->mResult && !mStore.Answers()) {
      return WithVerdict(absl::DeadlineExceededError(
                           "the store stopped answering during a write"),
                         Verdict::MayHaveRun);
    }
  }
  return *std::move(write->mResult);
}

JobAnswer JobRequestHandler::Handle(const SubmitJob& aSubmit, Instant aDeadline)
{
  if (aSubmit.mGraph.mId.Empty() || aSubmit.mGraph.mSteps.empty()) {
    return JobRefused{ RefusalCause::BadRequest,
                       Verdict::NotRun,
                       "the job has no ID or no steps" };
  }
  if (const absl::Status valid = CheckGraph(aSubmit.mGraph); !valid.ok()) {
    return JobRefused{ RefusalCause::BadRequest,
                       Verdict::NotRun,
                       std::string(valid.message()) };
  }
  const JobId& id = aSubmit.mGraph.mId;
  if (auto refusal = RefuseWhileSilent(id)) {
    return *std::move(refusal);
  }
  const StoredJob job{ aSubmit.mGraph, UnixMsNow(), false };
  const std::string key = JobKey(job.mGraph.mId);
  std::string text = ToJsonText(job);
  if (text.size() > kMaxJobRecordBytes) {
    return JobRefused{ RefusalCause::BadRequest,
                       Verdict::NotRun,
                       absl::StrCat("the job's record has ",
                                    text.size(),
                                    " bytes, more than ",
                                    kMaxJobRecordBytes) };
  }
  if (absl::Status readable = CheckReadable(text, job); !readable.ok()) {
    return JobRefused{ RefusalCause::BadRequest,
                       Verdict::NotRun,
                       std::string(readable.message()) };
  }
  if (auto refusal = RefuseWhileFull(id)) {
    return *std::move(refusal);
  }
  StoreTransaction transaction;
  transaction.mCompares.push_back({ key, 0 });
  transaction.mWrites.push_back({ key, std::move(text) });
  WriteRetries retries(aDeadline);
  for (;;) {
    const auto result = Commit(transaction, [this, job] { NotifyOwner(job); });
    absl::StatusOr<bool> accepted = true;
    if (!result.ok()) {
      accepted = result.status();
    } else if (!result->mApplied) {
      accepted = AcceptExisting(job, *result);
    }
    if (accepted.ok() && *accepted) {
      mOutage.OnSettled(id);
      return JobAccepted{};
    }
    if (accepted.ok()) {
      continue; // The record has changed.
    }
    if (!mStore.Answers() || !retries.WaitToRetry(accepted.status())) {
      retries.OnFailure(accepted.status());
      return RefusalOf(id, retries.Refusal());
    }
  }
}

absl::StatusOr<bool> JobRequestHandler::AcceptExisting(
  const StoredJob& aJob,
  const StoreTransactionResult& aConflict)
{
  const std::string key = JobKey(aJob.mGraph.mId);
  const auto found =
    std::ranges::find(aConflict.mCurrent, key, &StoreEntry::mKey);
  const auto entry = found != aConflict.mCurrent.end()
                       ? absl::StatusOr<StoreEntry>(*found)
                       : mStore.Read(key);
  if (absl::IsNotFound(entry.status())) {
    return false;
  }
  if (!entry.ok()) {
    // A record exists, perhaps that of the same job, submitted before.
    return WithVerdict(entry.status(), Verdict::MayHaveRun);
  }
  const auto record = FromJsonText<StoredJob>(entry->mValue);
  if (!record.ok() || !IsTombstone(*record)) {
    return true;
  }
  LogChange("submission-after-cancellation",
            { { "job", aJob.mGraph.mId },
              { "ms", UnixMsNow() - record->mAcceptedUnixMs } });
  StoredJob cancelled = aJob;
  cancelled.mCancelled = true;
  StoreTransaction transaction;
  transaction.mCompares.push_back({ key, entry->mModRevision });
  transaction.mWrites.push_back({ key, ToJsonText(cancelled) });
  const auto result =
    Commit(transaction, [this, cancelled] { NotifyOwner(cancelled); });
  if (!result.ok()) {
    return result.status();
  }
  return result->mApplied;
}

absl::StatusOr<bool> JobRequestHandler::WriteTombstone(const JobId& aJob)
{
  const auto lease = mTombstones.Current();
  if (!lease.ok()) {
    return WithVerdict(lease.status(), Verdict::NotRun);
  }
  const std::string key = JobKey(aJob);
  StoreTransaction transaction;
  transaction.mCompares.push_back({ key, 0 });
  transaction.mWrites.push_back(
    { key, ToJsonText(MakeTombstone(aJob, UnixMsNow())), *lease });
  const auto result = Commit(transaction, [] {});
  if (absl::IsNotFound(result.status())) {
    mTombstones.OnEnded(*lease);
  }
  if (!result.ok()) {
    return result.status();
  }
  LogChange("unknown-job-cancelled",
            { { "job", aJob }, { "tombstone", result->mApplied } });
  return result->mApplied;
}

std::optional<JobRefused> JobRequestHandler::LimitTombstones()
{
  const auto wait = mTombstones.Admit(MonotonicNow());
  if (!wait) {
    return std::nullopt;
  }
  return JobRefused{ RefusalCause::RateLimited,
                     Verdict::NotRun,
                     "too many cancellations of unknown jobs",
                     std::max(*wait, RetryAfter()) };
}

std::optional<JobAnswer> JobRequestHandler::RefuseWhileFull(const JobId& aJob)
{
  if (OwnerAccepts()) {
    return std::nullopt;
  }
  // A repeated submission of a job that is stored must not be refused.
  const auto entry = mStore.Read(JobKey(aJob));
  if (entry.ok()) {
    return std::nullopt; // Nothing is added.
  }
  if (!absl::IsNotFound(entry.status())) {
    // The job may be stored, by an earlier submission.
    return RefusalOf(aJob, OutcomeUnknown(entry.status()));
  }
  const absl::Status full =
    absl::ResourceExhaustedError("the cell holds as many jobs as it can");
  JobRefused refusal = mOutage.InDoubt(aJob, MonotonicNow())
                         ? OutcomeUnknown(full)
                         : StoreUnavailable(full);
  refusal.mCause = RefusalCause::CellFull;
  refusal.mRetryAfter = RetryAfter();
  return refusal;
}

bool JobRequestHandler::OwnerAccepts()
{
  if (const auto owner = mElection.Owner()) {
    return owner->Logic().AcceptsJobs();
  }
  if (!mGate.MustAsk()) {
    return true;
  }
  const auto at = mElection.OwnerAt();
  if (!at) {
    return false;
  }
  const auto reply = net::CallTyped<QueryAcceptanceReply>(
    mRpc, *at, kQueryAcceptanceMethod, QueryAcceptance{}, kOwnerTimeout);
  if (!reply.ok() || !reply->mOwner) {
    LogDebug("owner-not-asked", { { "error", reply.status().ToString() } });
    return false;
  }
  mGate.OnOwnerAnswer(reply->mAccepts);
  return reply->mAccepts;
}

JobAnswer JobRequestHandler::Handle(const CancelJob& aCancel, Instant aDeadline)
{
  if (auto refusal = RefuseWhileSilent(aCancel.mJob)) {
    return *std::move(refusal);
  }
  const std::string key = JobKey(aCancel.mJob);
  WriteRetries retries(aDeadline);
  for (;;) {
    const auto entry = mStore.Read(key);
    absl::Status failed = entry.status();
    if (absl::IsNotFound(failed)) {
      if (auto refusal = LimitTombstones()) {
        return *std::move(refusal);
      }
      const auto written = WriteTombstone(aCancel.mJob);
      if (written.ok() && *written) {
        return NoSuchJob{};
      }
      if (written.ok()) {
        continue; // A submission was stored since the read.
      }
      failed = written.status();
    } else if (entry.ok()) {
      auto job = FromJsonText<StoredJob>(entry->mValue);
      if (!job.ok()) {
        return OutcomeUnknown(job.status());
      }
      if (IsTombstone(*job)) {
        return NoSuchJob{};
      }
      if (job->mCancelled) {
        return JobCancelled{};
      }
      job->mCancelled = true;
      StoreTransaction transaction;
      transaction.mCompares.push_back({ key, entry->mModRevision });
      transaction.mWrites.push_back({ key, ToJsonText(*job) });
      const auto result =
        Commit(transaction, [this, changed = *job] { NotifyOwner(changed); });
      if (result.ok() && result->mApplied) {
        return JobCancelled{};
      }
      if (result.ok()) {
        continue; // Changed since the read.
      }
      failed = result.status();
    } else {
      failed = WithVerdict(failed, Verdict::NotRun); // A read changes nothing.
    }
    if (!mStore.Answers() || !retries.WaitToRetry(failed)) {
      retries.OnFailure(failed);
      return RefusalOf(aCancel.mJob, retries.Refusal());
    }
  }
}

void JobRequestHandler::NotifyOwner(const StoredJob& aJob)
{
  if (const auto owner = mElection.Owner()) {
    owner->OnRecordChanged(aJob);
    return;
  }
  const std::size_t bytes = aJob.mCancelled ? 0 : MemoryOf(aJob.mGraph);
  mGate.OnStored(bytes);
  const auto at = mElection.OwnerAt();
  if (!at) {
    return;
  }
  mRuntime.Spawn([this, at = *at, aJob, bytes] {
    const auto reply = net::CallTyped<RecordChangedReply>(
      mRpc, at, kRecordChangedMethod, RecordChanged{ aJob }, kOwnerTimeout);
    if (!reply.ok()) {
      LogDebug(
        "owner-not-told",
        { { "job", aJob.mGraph.mId }, { "error", reply.status().ToString() } });
      return;
    }
    mGate.OnReported(bytes, reply->mFull);
  });
}

} // namespace foxtailbarrow::scheduler
