#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "apps/taskagent/TaskAgentSettings.h"
#include "apps/taskagent/WorkerControl.h"
#include "foxtailbarrow/Store.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/workers/ReportEncoder.h"
#include "src/core/retry/Backoff.h"
#include "src/net/Rpc.h"
#include "src/net/Waker.h"

namespace foxtailbarrow::taskagent {

/// Whether an owner accepts messages that state when the worker started.
enum class OwnerReadsStartTime : std::uint8_t
{
  No,
  Yes,
};

/// The agent's link to the cell's owner. Sends reports on changes and at
/// intervals, and finds a new owner through the store or the schedulers when
/// the owner does not answer.
class OwnerLink
{
public:
  OwnerLink(const TaskAgentSettings& aSettings,
            net::FiberRuntime& aRuntime,
            WorkerControl& aWorker,
            Store& aStore,
            net::RpcClient& aRpc);

  /// Sends a report without waiting for the interval.
  void RequestReport()
  {
    mReportRequested = true;
    mWaker.Wake();
  }
  Waker& RoundWaker() { return mWaker; }

  /// Starts a report and searches for the owner if it is lost. Returns the
  /// pause before the next round.
  Duration Round();

  /// Handles `agent.attach`.
  absl::StatusOr<cell::AttachReply> OnAttach(
    const cell::AttachRequest& aRequest,
    OwnerReadsStartTime aReadsStartTime);

  cell::Generation KnownGeneration() const { return mGeneration; }
  Instant LastContact() const { return mLastContactAt; }
  std::uint64_t Reports() const { return mReports; }

private:
  /// Reports in a separate fiber, so that an owner that does not answer does
  /// not delay the first report to the next owner.
  void StartReport();
  void Report();
  cell::ReportRequest BuildReport(Instant aNow);
  void OnReply(const cell::ReportReply& aReply,
               const Endpoint& aOwner,
               const cell::ReportRequest& aReport,
               Instant aSentAt);
  void Find();
  void OnContact();
  bool FindByStore();
  bool FindBySeeds();
  bool OnOwnerFound(cell::Generation aGeneration, const Endpoint& aOwner);

  const TaskAgentSettings& mSettings;
  net::FiberRuntime& mRuntime;
  WorkerControl& mWorker;
  Store& mStore;
  net::RpcClient& mRpc;
  Waker mWaker;
  std::optional<Endpoint> mOwner;
  cell::Generation mGeneration = 0;
  /// The owner of this generation reads the time of the worker's start.
  cell::Generation mReadsStartTime = 0;
  cell::Session mReportedSession = 0;
  std::optional<cell::Session> mPendingReport; ///< Session of the report.
  bool mReportRequested = false;               ///< While one is pending.
  std::int64_t mSequence = 0;
  Duration mReplyTook{}; ///< Duration of the newest report call.
  cell::ReportEncoder mEncoder;
  Instant mLastContactAt{};
  bool mInContact = false;
  std::mt19937_64 mRandom{ std::random_device{}() };
  Revision mUnreadableRevision = 0; ///< Of the entry last logged as such.
  Backoff mSearches;
  Instant mNextSearchAt{};
  std::uint64_t mReports = 0;
};

} // namespace foxtailbarrow::taskagent
