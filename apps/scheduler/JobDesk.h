#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "apps/scheduler/Election.h"
#include "src/core/cell/CellConfiguration.h"
#include "src/core/cell/JobRequest.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/platform/store/PulsedStore.h"

namespace foxtailbarrow::scheduler {

/// Answers callers' requests about jobs. An accepted job and an accepted
/// cancellation are in the store before the answer; a refusal that says "not
/// run" is given only when no write of the request may still take effect.
class JobDesk
{
public:
  JobDesk(net::FiberRuntime& aRuntime,
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

  cell::JobAnswer Forward(const cell::JobRequest& aRequest,
                          cell::JobAnswer aRefusal,
                          Instant aDeadline);

  /// False when the store is silent: a write would leave the request in doubt.
  bool AwaitStore() const;
  /// For a read that nobody could answer: what this process knows as the owner
  /// of the cell, although it may have been replaced.
  cell::JobAnswer LastResort(const cell::JobRequest& aRequest,
                             cell::JobAnswer aRefusal);
  std::optional<cell::JobPhase> AskOwner(const JobId& aJob);
  cell::JobAnswer ReadFromStore(const JobId& aJob);
  void TellOwner(const cell::StoredJob& aJob);

  net::FiberRuntime& mRuntime;
  PulsedStore& mStore;
  net::RpcClient& mRpc;
  const Election& mElection;
  std::vector<Endpoint> mPeers; ///< Other schedulers.
};

} // namespace foxtailbarrow::scheduler
