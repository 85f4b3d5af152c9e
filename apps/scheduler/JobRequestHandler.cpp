#include "apps/scheduler/JobRequestHandler.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "absl/strings/str_cat.h"

#include "apps/scheduler/JobRefusals.h"
#include "apps/scheduler/WriteRetries.h"
#include "src/core/cell/JobEntry.h"
#include "src/core/cell/JobForward.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Part of the caller's timeout that is reserved for sending the answer.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(150);
/// Interval of checks whether the store has become silent during a write.
constexpr Duration kSilencePoll = std::chrono::milliseconds(20);
/// Timeout of a request forwarded to one other scheduler.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(1200);
constexpr Duration kOwnerTimeout = std::chrono::milliseconds(500);

/// A write that was sent to the store.
struct PendingWrite
{
  std::optional<absl::StatusOr<StoreTransactionResult>> mResult;
  Waker mDone;
};

bool ChangesJob(const JobRequest& aRequest)
{
  return std::holds_alternative<SubmitJob>(aRequest.mBody) ||
         std::holds_alternative<CancelJob>(aRequest.mBody);
}

} // namespace

JobRequestHandler::JobRequestHandler(net::FiberRuntime& aRuntime,
                                     HealthTrackingStore& aStore,
                                     net::RpcClient& aRpc,
                                     const Election& aElection,
                                     std::vector<Endpoint> aPeers)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mRpc(aRpc)
  , mElection(aElection)
  , mPeers(std::move(aPeers))
  , mTombstones(aStore)
{
}

JobAnswer JobRequestHandler::Answer(const JobRequest& aRequest)
{
  const Instant deadline = MonotonicNow() + aRequest.mTimeout - kAnswerReserve;
  JobAnswer answer = AnswerHere(aRequest);
  if (!ShouldForward(answer)) {
    return answer;
  }
  // A read always asks the others: an owner that was replaced would answer
  // with stale state.
  return !ChangesJob(aRequest) || mOutage.MayForward(MonotonicNow())
           ? Forward(aRequest, std::move(answer), deadline)
           : answer;
}

/// Asks the other schedulers in turn until one does not refuse.
JobAnswer JobRequestHandler::Forward(const JobRequest& aRequest,
                                     JobAnswer aRefusal,
                                     Instant aDeadline)
{
  const bool changes = ChangesJob(aRequest);
  OwnerSurvey survey(mPeers.size());
  for (const Endpoint& peer : mPeers) {
    if (!mAvailability.MayAsk(peer, MonotonicNow())) {
      continue;
    }
    const Duration left =
      std::min<Duration>(aDeadline - MonotonicNow(), kForwardTimeout);
    if (left <= Duration::zero()) {
      return aRefusal;
    }
    JobRequest request = aRequest;
    request.mTimeout = left;
    const Instant askedAt = MonotonicNow();
    mAvailability.OnAsked(peer, askedAt);
    const auto reply = net::CallTyped<ForwardedReply>(
      mRpc, peer, kForwardMethod, ToForwarded(request), left);
    if (!reply.ok()) {
      OnUnanswered(peer, askedAt, reply.status());
      if (changes && VerdictOf(reply.status()) != Verdict::NotRun) {
        return OutcomeUnknown(reply.status());
      }
      continue;
    }
    mAvailability.OnAnswered(peer, askedAt);
    JobAnswer answer = FromForwarded(*reply);
    if (!ShouldForward(answer)) {
      return answer;
    }
    survey.OnAnswer(reply->mGeneration);
  }
  mOutage.OnPeersRefused(MonotonicNow());
  return AnswerFromMemory(aRequest, std::move(aRefusal), survey);
}

void JobRequestHandler::OnUnanswered(const Endpoint& aPeer,
                                     Instant aAskedAt,
                                     const absl::Status& aStatus)
{
  if (!absl::IsDeadlineExceeded(aStatus)) {
    mAvailability.OnRefused(aPeer, aAskedAt);
    return;
  }
  LogChange("scheduler-left-out",
            { { "scheduler", aPeer },
              { "ms", WholeMilliseconds(PeerAvailability::kSkippedFor) },
              { "error", aStatus.ToString() } });
  mAvailability.OnSilent(aPeer, aAskedAt, MonotonicNow());
}

JobAnswer JobRequestHandler::AnswerHere(const JobRequest& aRequest)
{
  const Instant deadline = MonotonicNow() + aRequest.mTimeout - kAnswerReserve;
  return std::visit([&](const auto& aBody) { return Handle(aBody, deadline); },
                    aRequest.mBody);
}

Duration JobRequestHandler::RetryAfter()
{
  std::uniform_real_distribution<double> any(0.0, 1.0);
  return RetryDelay(mStore.OutageAge(), any(mRandom));
}

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

JobAnswer JobRequestHandler::Handle(const ReadJob& aRead, Instant)
{
  if (const auto phase = AskOwner(aRead.mJob)) {
    return JobShown{ *phase };
  }
  // While the store is silent, the request is forwarded at once.
  return mStore.Answers() ? ReadFromStore(aRead.mJob)
                          : StoreUnavailable(absl::UnavailableError(
                              "the store does not answer"));
}

JobAnswer JobRequestHandler::AnswerFromMemory(const JobRequest& aRequest,
                                              JobAnswer aRefusal,
                                              const OwnerSurvey& aOthers)
{
  const auto* read = std::get_if<ReadJob>(&aRequest.mBody);
  const auto owner = mElection.Owner();
  if (read != nullptr && owner != nullptr &&
      aOthers.HasNoLaterOwner(owner->Term().OwnGeneration())) {
    if (const auto phase = owner->LastKnownPhase(read->mJob)) {
      return JobShown{ *phase };
    }
  }
  return aRefusal;
}

std::optional<JobPhase> JobRequestHandler::AskOwner(const JobId& aJob)
{
  if (const auto owner = mElection.Owner()) {
    return owner->PhaseNow(aJob);
  }
  const auto at = mElection.OwnerAt();
  if (!at) {
    return std::nullopt;
  }
  const auto reply = net::CallTyped<QueryJobReply>(
    mRpc, *at, kQueryJobMethod, QueryJob{ aJob }, kOwnerTimeout);
  if (!reply.ok() || !reply->mOwner || !reply->mKnown) {
    return std::nullopt;
  }
  return reply->mPhase;
}

/// Without an answer of the owner: the saved phase.
JobAnswer JobRequestHandler::ReadFromStore(const JobId& aJob)
{
  const auto entry = mStore.Read(JobKey(aJob));
  if (absl::IsNotFound(entry.status())) {
    return NoSuchJob{};
  }
  if (!entry.ok()) {
    return StoreUnavailable(entry.status());
  }
  const auto progress = mStore.Read(ProgressKey(aJob));
  if (absl::IsNotFound(progress.status())) {
    const auto job = FromJsonText<StoredJob>(entry->mValue);
    return job.ok() && IsTombstone(*job)
             ? JobAnswer(NoSuchJob{})
             : JobAnswer(JobShown{ SavedPhase(std::nullopt) });
  }
  if (!progress.ok()) {
    return StoreUnavailable(progress.status());
  }
  const auto record = FromJsonText<StoredProgress>(progress->mValue);
  if (!record.ok()) {
    return StoreUnavailable(record.status());
  }
  return JobShown{ SavedPhase(*record) };
}

JobAnswer JobRequestHandler::Handle(const CountWaitingJobs& aCount, Instant)
{
  if (const auto owner = mElection.Owner(); owner && owner->Current()) {
    return WaitingCounted{ owner->Logic().WaitingJobs(aCount.mQueue) };
  }
  if (const auto at = mElection.OwnerAt()) {
    const auto reply =
      net::CallTyped<QueryWaitingReply>(mRpc,
                                        *at,
                                        kQueryWaitingMethod,
                                        QueryWaiting{ aCount.mQueue },
                                        kOwnerTimeout);
    if (reply.ok() && reply->mOwner) {
      return WaitingCounted{ reply->mWaiting };
    }
  }
  return JobRefused{ RefusalCause::NotReady,
                     Verdict::NotRun,
                     "the cell's owner is not known" };
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
