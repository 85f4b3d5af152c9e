#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/status/status.h"

#include "foxtailbarrow/Store.h"
#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/OwnerLoad.h"
#include "src/core/cell/OwnerTerm.h"
#include "src/core/cell/RoundPacing.h"
#include "src/core/cell/workers/CordonTable.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/net/Waker.h"

namespace foxtailbarrow::scheduler {

/// Counters of an owner's work for the metrics.
struct OwnerCounters
{
  std::uint64_t mReports = 0;
  std::uint64_t mOrders = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mSaves = 0;
  std::uint64_t mUnreadable = 0; ///< Store entries that were skipped.
};

/// The owner of the cell for one term: loads the state from the store and the
/// agents, lets CellScheduler decide, sends its orders and saves its progress.
/// Its fibers keep it alive until End(). Everything runs on one thread.
class CellOwner : public std::enable_shared_from_this<CellOwner>
{
public:
  struct Parts
  {
    net::FiberRuntime& mRuntime;
    Store& mStore;
    net::RpcClient& mRpc;
    Endpoint mSelf;
    Duration mKeepEnded;
    cell::PlacementAdvisor* mAdvisor; ///< May be null.
    /// Reads what the operator has written, before the first start.
    std::function<absl::Status()> mReadOperator;
    std::function<void()> mOnSuperseded;
    /// Total time this process has spent encoding and parsing messages.
    std::function<Duration()> mTextTime;
  };

  CellOwner(Parts aParts,
            cell::OwnerTerm aTerm,
            cell::CellSettings aSettings,
            const std::vector<cell::QueuePolicy>& aQueues,
            const cell::CordonTable& aCordons);

  /// Reads the store and starts the fibers. The term ends on an error.
  absl::Status Load();
  void End();
  bool Active() const { return mLoaded && !mEnded; }

  /// False if the store has not answered for so long that another scheduler may
  /// own the cell and the state here may be stale.
  bool Current() const
  {
    return mTerm.GrantAt(MonotonicNow()) > Duration::zero();
  }

  /// The job's phase, unless another owner may have a newer one. A saved final
  /// phase never changes, so it is always returned.
  std::optional<cell::JobPhase> PhaseNow(const JobId& aJob) const;
  /// The job's phase for callers that have checked that no scheduler knows of a
  /// later owner.
  std::optional<cell::JobPhase> LastKnownPhase(const JobId& aJob) const;

  /// Does not suspend its fiber.
  cell::ReportReply OnReport(const cell::ReportRequest& aReport);
  void OnRecordChanged(const cell::StoredJob& aJob);
  void SetQueues(const std::vector<cell::QueuePolicy>& aQueues);
  void SetCordons(const cell::CordonTable& aCordons);
  /// A read sent at `aSentAt` found the cell's record unchanged.
  void Confirm(Instant aSentAt)
  {
    mTerm.Confirm(aSentAt);
    mLogic.OnOwnershipConfirmed(aSentAt);
  }
  /// The owner's key lasts for `aTtl` from `aSentAt`.
  void ExtendKey(Instant aSentAt, Duration aTtl)
  {
    mTerm.ExtendKey(aSentAt, aTtl);
  }

  const cell::OwnerTerm& Term() const { return mTerm; }
  const cell::CellScheduler& Logic() const { return mLogic; }
  const OwnerCounters& Counters() const { return mCounters; }
  /// Load of the last full second; zeros before the first one.
  const cell::OwnerLoadSummary& LastLoad() const { return mLastLoad; }

private:
  /// Revision of a job's progress record, as far as it is known; 0 = none.
  struct SavedRevision
  {
    JobId mJob;
    Revision mRevision = 0;
  };

  /// The owner's state for one agent.
  struct AgentLink
  {
    Endpoint mEndpoint;
    Waker mWaker;
    Instant mLastContactAt{};
    Instant mAttachedAt{};
    Instant mWeightsSentAt{};
    bool mCordonTold = false; ///< Sent to the agent, or about to be.
    bool mWorkerLeft = false; ///< As of the agent's newest report.
    bool mSaved = false;      ///< The store has the agent's record.
    /// Last known revision of the agent's record; 0 = none. Writes are
    /// conditional on it, so that a delayed one cannot replace a newer record.
    Revision mRecordRevision = 0;
    /// The store may hold a closed record: no start until an open one is saved.
    bool mRecordClosed = false;
    bool mCloseSaved = false;     ///< The store holds the closed record.
    bool mRecordInFlight = false; ///< A write of it is not answered.
    std::vector<cell::TaskRef> mClosedTasks; ///< In the closed record.
  };

  template<typename Record>
  std::optional<Record> ReadEntry(const StoreEntry& aEntry);
  std::optional<cell::StoredJob> ReadJob(const StoreEntry& aEntry);
  void LogUnreadable(const StoreEntry& aEntry, std::string_view aReason);

  void ApplyQueues(const std::vector<cell::QueuePolicy>& aQueues);
  void Spawn(void (CellOwner::*aBody)());
  void RunJobWatch();
  void RunSchedule();
  void RunRound();
  void LogLoad();
  void LogDecision(const cell::CellDecision& aDecision);
  void RunProgressSaves();
  void RunCleanup();
  bool DeleteJobs(std::span<const JobId> aJobs);
  void RunLearnedSaves();
  void LoadLearned();
  void SaveLearned();
  void RunAdvice();
  void RunAgentLink(const AgentId& aAgent, AgentLink& aLink);

  absl::Status LoadJobs();
  absl::Status LoadAgents();
  Instant EarlierLeasesEnd();
  void OnJobEvent(const StoreEvent& aEvent);
  cell::ReportReply HandleReport(const cell::ReportRequest& aReport);
  AgentLink& AgentLinkOf(const AgentId& aAgent, const Endpoint& aEndpoint);
  bool Attached(const AgentId& aAgent) const;
  // Records of agents (CellOwnerAgentRecords.cpp).
  bool WriteAgentRecord(const AgentId& aAgent,
                        AgentLink& aLink,
                        const cell::AgentContact& aContact);
  bool SaveAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void UpdateAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void CloseAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void OpenAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void RemoveAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void ForgetAgent(const AgentId& aAgent, AgentLink& aLink);
  absl::StatusOr<cell::AttachReply> CallAttach(const Endpoint& aAgent,
                                               cell::Session aSession);
  Duration AttachRound(const AgentId& aAgent, AgentLink& aLink);
  Duration OrderRound(const AgentId& aAgent, AgentLink& aLink);
  void Detach(const AgentId& aAgent);
  void TellCordon(const AgentId& aAgent, AgentLink& aLink);

  bool SaveBatch();
  void OnConflict(std::span<const SavedRevision> aExpected,
                  const StoreTransactionResult& aResult);
  StoreCompare CellUnchanged() const;
  cell::CellClock Clock() const;
  cell::Session NextSession();

  Parts mParts;
  cell::OwnerTerm mTerm;
  cell::CellSettings mSettings;
  cell::OwnerLoad mLoad;
  cell::RoundPacing mPacing;
  cell::OwnerLoadSummary mLastLoad;
  Duration mTextTimeBefore{};
  cell::CellScheduler mLogic;
  std::map<AgentId, std::unique_ptr<AgentLink>> mAgentLinks;
  std::int64_t mSessions = 0;
  std::int64_t mCordonNotices = 0;
  Revision mJobsFrom = 0;
  /// Jobs with unreadable progress. Nothing of them is started, since it is not
  /// known which of their tasks have run.
  std::set<JobId> mUnreadableJobs;
  /// Revisions of unreadable entries, by key.
  std::map<std::string, Revision> mUnreadableEntries;
  Waker mScheduleWaker;
  Waker mSaveWaker;
  OwnerCounters mCounters;
  bool mAdviceWanted = false; ///< A service chooses workers for some queue.
  bool mLoaded = false;
  bool mEnded = false;
};

} // namespace foxtailbarrow::scheduler
