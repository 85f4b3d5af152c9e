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
/// Timeout of a request forwarded to one other scheduler.
constexpr Duration kForwardTimeout = std::chrono::milliseconds(1200);

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

} // namespace foxtailbarrow::scheduler
