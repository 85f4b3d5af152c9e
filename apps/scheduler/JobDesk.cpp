#include "apps/scheduler/JobDesk.h"

#include <chrono>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "src/core/cell/CellRecords.h"
#include "src/core/cell/JobForward.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Kept of the caller's time for the answer's way back.
constexpr Duration kAnswerTime = std::chrono::milliseconds(150);
constexpr Duration kRetryPause = std::chrono::milliseconds(40);
/// A call that the store does not answer takes so long: another try that would
/// end after the caller's time only delays the answer.
constexpr Duration kSilentCall = std::chrono::milliseconds(1000);
/// Refusals of the store after which the caller is told to come back: an
/// outage lasts longer than the caller waits.
constexpr int kMaxRefusals = 2;
/// How long a request waits for a silent store before it is refused as not run.
/// Short: the caller is told when to come back.
constexpr Duration kSilenceWait = std::chrono::milliseconds(100);
constexpr Duration kSilencePoll = std::chrono::milliseconds(20);
/// Of one other scheduler's answer.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(1200);
constexpr Duration kOwnerTimeout = std::chrono::milliseconds(500);

JobRefused StoreAway(const absl::Status& aStatus)
{
  return { RefusalCause::StoreAway,
           Verdict::NotRun,
           std::string(aStatus.message()) };
}

JobRefused FateUnknown(const absl::Status& aStatus)
{
  return { RefusalCause::Unknown,
           Verdict::MayHaveRun,
           std::string(aStatus.message()) };
}

/// Tries a write of a request again until its fate is known, the store refuses
/// it for too long, or the caller's time is up.
class WriteTries
{
public:
  explicit WriteTries(Instant aDeadline)
    : mDeadline(aDeadline)
  {
  }

  /// Notes a failed try. True when there is time for another.
  bool Again(const absl::Status& aStatus)
  {
    mLast = aStatus;
    if (VerdictOf(aStatus) == Verdict::NotRun) {
      ++mRefusals;
    } else {
      mMayHaveRun = true;
    }
    const Duration next = mMayHaveRun ? kRetryPause + kSilentCall : kRetryPause;
    if (MonotonicNow() + next >= mDeadline ||
        (!mMayHaveRun && mRefusals >= kMaxRefusals)) {
      return false;
    }
    boost::this_fiber::sleep_for(kRetryPause);
    return true;
  }

  JobRefused Refusal() const
  {
    return mMayHaveRun ? FateUnknown(mLast) : StoreAway(mLast);
  }

private:
  Instant mDeadline;
  absl::Status mLast;
  int mRefusals = 0;
  bool mMayHaveRun = false;
};

} // namespace

JobDesk::JobDesk(net::FiberRuntime& aRuntime,
                 PulsedStore& aStore,
                 net::RpcClient& aRpc,
                 const Election& aElection,
                 std::vector<Endpoint> aPeers)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mRpc(aRpc)
  , mElection(aElection)
  , mPeers(std::move(aPeers))
{
}

JobAnswer JobDesk::Answer(const JobRequest& aRequest)
{
  const Instant deadline = MonotonicNow() + aRequest.mTimeout - kAnswerTime;
  JobAnswer answer = AnswerHere(aRequest);
  return WorthForwarding(answer)
           ? Forward(aRequest, std::move(answer), deadline)
           : answer;
}

/// Asks one scheduler after the other until one does more than refuse.
JobAnswer JobDesk::Forward(const JobRequest& aRequest,
                           JobAnswer aRefusal,
                           Instant aDeadline)
{
  const bool changes = std::holds_alternative<SubmitJob>(aRequest.mBody) ||
                       std::holds_alternative<CancelJob>(aRequest.mBody);
  for (const Endpoint& peer : mPeers) {
    const Duration left =
      std::min<Duration>(aDeadline - MonotonicNow(), kForwardTimeout);
    if (left <= Duration::zero()) {
      break;
    }
    JobRequest request = aRequest;
    request.mTimeout = left;
    const auto reply = net::CallTyped<ForwardedReply>(
      mRpc, peer, kForwardMethod, ToForwarded(request), left);
    if (!reply.ok()) {
      if (changes && VerdictOf(reply.status()) != Verdict::NotRun) {
        return FateUnknown(reply.status());
      }
      continue;
    }
    JobAnswer answer = FromForwarded(*reply);
    if (!WorthForwarding(answer)) {
      return answer;
    }
  }
  return LastResort(aRequest, std::move(aRefusal));
}

JobAnswer JobDesk::AnswerHere(const JobRequest& aRequest)
{
  const Instant deadline = MonotonicNow() + aRequest.mTimeout - kAnswerTime;
  return std::visit([&](const auto& aBody) { return Handle(aBody, deadline); },
                    aRequest.mBody);
}

bool JobDesk::AwaitStore() const
{
  const Instant end = MonotonicNow() + kSilenceWait;
  while (!mStore.Answers() && MonotonicNow() < end) {
    boost::this_fiber::sleep_for(kSilencePoll);
  }
  return mStore.Answers();
}

JobAnswer JobDesk::Handle(const SubmitJob& aSubmit, Instant aDeadline)
{
  if (aSubmit.mGraph.mId.Empty() || aSubmit.mGraph.mSteps.empty()) {
    return JobRefused{ RefusalCause::BadRequest,
                       Verdict::NotRun,
                       "a job without steps" };
  }
  if (!AwaitStore()) {
    return StoreAway(absl::UnavailableError("the store does not answer"));
  }
  const StoredJob job{ aSubmit.mGraph, UnixMsNow(), false };
  const std::string key = JobKey(job.mGraph.mId);
  StoreTransaction transaction;
  transaction.mCompares.push_back({ key, 0 });
  transaction.mWrites.push_back({ key, ToJsonText(job) });
  WriteTries tries(aDeadline);
  for (;;) {
    const auto result = mStore.Commit(transaction);
    if (result.ok()) {
      // A record that is there already is the same job, asked for again.
      if (result->mApplied) {
        TellOwner(job);
      }
      return JobAccepted{};
    }
    if (!tries.Again(result.status())) {
      return tries.Refusal();
    }
  }
}

JobAnswer JobDesk::Handle(const CancelJob& aCancel, Instant aDeadline)
{
  if (!AwaitStore()) {
    return StoreAway(absl::UnavailableError("the store does not answer"));
  }
  const std::string key = JobKey(aCancel.mJob);
  WriteTries tries(aDeadline);
  for (;;) {
    const auto entry = mStore.Read(key);
    if (absl::IsNotFound(entry.status())) {
      return NoSuchJob{};
    }
    absl::Status failed = entry.status();
    if (entry.ok()) {
      auto job = FromJsonText<StoredJob>(entry->mValue);
      if (!job.ok()) {
        return FateUnknown(job.status());
      }
      if (job->mCancelled) {
        return JobCancelled{};
      }
      job->mCancelled = true;
      StoreTransaction transaction;
      transaction.mCompares.push_back({ key, entry->mModRevision });
      transaction.mWrites.push_back({ key, ToJsonText(*job) });
      const auto result = mStore.Commit(transaction);
      if (result.ok() && result->mApplied) {
        TellOwner(*job);
        return JobCancelled{};
      }
      if (result.ok()) {
        continue; // Changed meanwhile: read it again.
      }
      failed = result.status();
    } else {
      failed = WithVerdict(failed, Verdict::NotRun); // A read changes nothing.
    }
    if (!tries.Again(failed)) {
      return tries.Refusal();
    }
  }
}

JobAnswer JobDesk::Handle(const ReadJob& aRead, Instant)
{
  if (const auto phase = AskOwner(aRead.mJob)) {
    return JobShown{ *phase };
  }
  // Where the store is silent, another scheduler is asked at once.
  return mStore.Answers()
           ? ReadFromStore(aRead.mJob)
           : StoreAway(absl::UnavailableError("the store does not answer"));
}

JobAnswer JobDesk::LastResort(const JobRequest& aRequest, JobAnswer aRefusal)
{
  const auto* read = std::get_if<ReadJob>(&aRequest.mBody);
  const auto owner = mElection.Owner();
  if (read != nullptr && owner != nullptr) {
    if (const auto phase = owner->LastKnownPhase(read->mJob)) {
      return JobShown{ *phase };
    }
  }
  return aRefusal;
}

std::optional<JobPhase> JobDesk::AskOwner(const JobId& aJob)
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

/// Without the owner's word: the newest record.
JobAnswer JobDesk::ReadFromStore(const JobId& aJob)
{
  const auto entry = mStore.Read(JobKey(aJob));
  if (absl::IsNotFound(entry.status())) {
    return NoSuchJob{};
  }
  if (!entry.ok()) {
    return StoreAway(entry.status());
  }
  const auto progress = mStore.Read(ProgressKey(aJob));
  if (absl::IsNotFound(progress.status())) {
    return JobShown{ RecordedPhase(std::nullopt) };
  }
  if (!progress.ok()) {
    return StoreAway(progress.status());
  }
  const auto record = FromJsonText<StoredProgress>(progress->mValue);
  if (!record.ok()) {
    return StoreAway(record.status());
  }
  return JobShown{ RecordedPhase(*record) };
}

JobAnswer JobDesk::Handle(const CountWaitingJobs& aCount, Instant)
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

void JobDesk::TellOwner(const StoredJob& aJob)
{
  if (const auto owner = mElection.Owner()) {
    owner->OnRecordChanged(aJob);
    return;
  }
  const auto at = mElection.OwnerAt();
  if (!at) {
    return;
  }
  mRuntime.Spawn([this, at = *at, aJob] {
    const auto reply = net::CallTyped<RecordChangedReply>(
      mRpc, at, kRecordChangedMethod, RecordChanged{ aJob }, kOwnerTimeout);
    if (!reply.ok()) {
      LogDebug(
        "owner-not-told",
        { { "job", aJob.mGraph.mId }, { "error", reply.status().ToString() } });
    }
  });
}

} // namespace foxtailbarrow::scheduler
