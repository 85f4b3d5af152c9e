#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "apps/scheduler/Election.h"
#include "src/core/cell/CellConfiguration.h"
#include "src/core/cell/JobRequest.h"
#include "src/core/cell/OutagePolicy.h"
#include "src/core/cell/OwnerSurvey.h"
#include "src/core/cell/PeerAvailability.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/platform/store/PulsedStore.h"

namespace foxtailbarrow::scheduler {

/// Answers callers' requests about jobs. An accepted job and an accepted
/// cancellation are in the store before the answer; a refusal that says "not
/// run" is given only when no write of the request may still take effect.
class JobRequestHandler
{
public:
  JobRequestHandler(net::FiberRuntime& aRuntime,
                    PulsedStore& aStore,
                    net::RpcClient& aRpc,
                    const Election& aElection,
                    std::vector<Endpoint> aPeers);

  /// Answers here or, where the store does not serve this process, by another
  /// scheduler.
  cell::JobAnswer Answer(const cell::JobRequest& aRequest);
  /// Answers a request that another scheduler forwarded.
  cell::JobAnswer AnswerHere(const cell::JobRequest& aRequest);

private:
  cell::JobAnswer Handle(const cell::SubmitJob& aSubmit, Instant aDeadline);
  cell::JobAnswer Handle(const cell::ReadJob& aRead, Instant aDeadline);
  cell::JobAnswer Handle(const cell::CancelJob& aCancel, Instant aDeadline);
  cell::JobAnswer Handle(const cell::CountWaitingJobs& aCount,
                         Instant aDeadline);

  void OnUnanswered(const Endpoint& aPeer,
                    Instant aAskedAt,
                    const absl::Status& aStatus);
  cell::JobAnswer Forward(const cell::JobRequest& aRequest,
                          cell::JobAnswer aRefusal,
                          Instant aDeadline);

  /// The refusal of a change while the store is silent, where a write would
  /// leave it in doubt; nothing while the store answers.
  std::optional<cell::JobRefused> RefuseWhileSilent(const JobId& aJob);
  /// Sends a write and waits for its answer, but not longer than the store is
  /// silent: then the fate of the write is unknown and the caller is told so
  /// at once. `aOnApplied` is called when it was applied, also later than that.
  absl::StatusOr<StoreTransactionResult> Commit(
    StoreTransaction aTransaction,
    std::function<void()> aOnApplied);
  cell::JobRefused RefusalOf(const JobId& aJob, cell::JobRefused aRefusal);
  Duration RetryAfter();
  /// For a read that nobody could answer: what this process knows as the owner
  /// of the cell, where all others answered and none knows of a later owner.
  cell::JobAnswer AnswerFromMemory(const cell::JobRequest& aRequest,
                                   cell::JobAnswer aRefusal,
                                   const cell::OwnerSurvey& aOthers);
  std::optional<cell::JobPhase> AskOwner(const JobId& aJob);
  cell::JobAnswer ReadFromStore(const JobId& aJob);
  void NotifyOwner(const cell::StoredJob& aJob);

  net::FiberRuntime& mRuntime;
  PulsedStore& mStore;
  net::RpcClient& mRpc;
  const Election& mElection;
  std::vector<Endpoint> mPeers; ///< Other schedulers.
  cell::OutagePolicy mOutage;
  cell::PeerAvailability mAvailability;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace foxtailbarrow::scheduler
