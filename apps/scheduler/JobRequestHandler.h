#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "apps/scheduler/Election.h"
#include "apps/scheduler/TombstoneLeases.h"
#include "src/core/cell/CellConfiguration.h"
#include "src/core/cell/JobRequest.h"
#include "src/core/cell/OutagePolicy.h"
#include "src/core/cell/OwnerSurvey.h"
#include "src/core/cell/PeerAvailability.h"
#include "src/core/cell/SubmissionGate.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/platform/store/HealthTrackingStore.h"

namespace foxtailbarrow::scheduler {

/// Answers callers' requests about jobs. Accepted jobs and cancellations are in
/// the store before the answer. A refusal says "not run" only if no write of
/// the request can still take effect. That no such job exists is told to a
/// cancellation only once a submission that is still on its way cannot take
/// effect any more.
class JobRequestHandler
{
public:
  JobRequestHandler(net::FiberRuntime& aRuntime,
                    HealthTrackingStore& aStore,
                    net::RpcClient& aRpc,
                    const Election& aElection,
                    std::vector<Endpoint> aPeers);

  /// Answers a caller's request, or forwards it to another scheduler if the
  /// store does not serve this one.
  cell::JobAnswer Answer(const cell::JobRequest& aRequest);
  /// Answers a request without forwarding it.
  cell::JobAnswer AnswerHere(const cell::JobRequest& aRequest);

private:
  /// Timeout of a question to the cell's owner.
  static constexpr Duration kOwnerTimeout = std::chrono::milliseconds(500);

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

  /// A submission found a record of its job: it is the same job, submitted
  /// again, or a tombstone, in place of which the job is stored as cancelled.
  /// Returns false if the record has changed since.
  absl::StatusOr<bool> AcceptExisting(const cell::StoredJob& aJob,
                                      const StoreTransactionResult& aConflict);
  /// Returns false if a record of the job exists.
  absl::StatusOr<bool> WriteTombstone(const JobId& aJob);
  /// Refuses a cancellation for which no tombstone may be written now.
  std::optional<cell::JobRefused> LimitTombstones();

  /// Refuses a change while the store is silent, since the outcome of a write
  /// would be unknown. Returns nullopt while the store answers.
  std::optional<cell::JobRefused> RefuseWhileSilent(const JobId& aJob);
  /// Sends a write and waits for its answer. Returns at once with an unknown
  /// outcome when the store becomes silent. `aOnApplied` is called when the
  /// write is applied, even after the return.
  absl::StatusOr<StoreTransactionResult> Commit(
    StoreTransaction aTransaction,
    std::function<void()> aOnApplied);
  cell::JobRefused RefusalOf(const JobId& aJob, cell::JobRefused aRefusal);
  Duration RetryAfter();
  /// Answers a read that no scheduler could answer from this owner's own state,
  /// provided that all others have answered and none knows of a later owner.
  cell::JobAnswer AnswerFromMemory(const cell::JobRequest& aRequest,
                                   cell::JobAnswer aRefusal,
                                   const cell::OwnerSurvey& aOthers);
  std::optional<cell::JobPhase> AskOwner(const JobId& aJob);
  cell::JobAnswer ReadFromStore(const JobId& aJob);
  void NotifyOwner(const cell::StoredJob& aJob);
  /// Refuses a submission for which the cell's owner has no memory. Returns
  /// nullopt if it may be stored.
  std::optional<cell::JobAnswer> RefuseWhileFull(const JobId& aJob);
  bool OwnerAccepts();

  net::FiberRuntime& mRuntime;
  HealthTrackingStore& mStore;
  net::RpcClient& mRpc;
  const Election& mElection;
  std::vector<Endpoint> mPeers; ///< Other schedulers.
  cell::OutagePolicy mOutage;
  cell::PeerAvailability mAvailability;
  cell::SubmissionGate mGate;
  TombstoneLeases mTombstones;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace foxtailbarrow::scheduler
