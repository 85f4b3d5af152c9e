#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/status/status.h"

#include "foxtailbarrow/Store.h"
#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/OwnerLoad.h"
#include "src/core/cell/OwnerTerm.h"
#include "src/core/cell/RoundPacing.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Poke.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow::scheduler {

/// Figures of an owner's work, for the metrics.
struct OwnerFigures
{
  std::uint64_t mReports = 0;
  std::uint64_t mOrders = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mRecords = 0;
  std::uint64_t mUnreadable =
    0; ///< Entries of the store that were passed over.
};

/// The owner of the cell for one term: loads what the store and the agents
/// know, lets CellScheduler decide, sends its orders, records its progress.
/// Lives until End(); its fibers hold it. All of it runs on one thread.
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
    cell::PlacementAdvisor* mAdvisor; ///< Null where there is none.
    std::function<void()> mOnSuperseded;
    /// Spent on the text of messages by this process so far.
    std::function<Duration()> mTextTime;
  };

  CellOwner(Parts aParts,
            cell::OwnerTerm aTerm,
            cell::CellSettings aSettings,
            const std::vector<cell::QueuePolicy>& aQueues);

  /// Reads the store, then starts the fibers. An error ends the term.
  absl::Status Load();
  void End();
  bool Active() const { return mLoaded && !mEnded; }

  /// False when the store has been silent for so long that another scheduler
  /// may own the cell: what is known here may be out of date.
  bool Current() const
  {
    return mTerm.GrantAt(MonotonicNow()) > Duration::zero();
  }

  /// What a caller is told of the job, as long as no other owner can know
  /// better: an end that is recorded stands for good.
  std::optional<cell::JobPhase> PhaseNow(const JobId& aJob) const;
  /// The same where no scheduler knows of a later owner.
  std::optional<cell::JobPhase> LastKnownPhase(const JobId& aJob) const;

  /// Does not suspend its fiber.
  cell::ReportReply OnReport(const cell::ReportRequest& aReport);
  void OnRecordChanged(const cell::StoredJob& aJob);
  void SetQueues(const std::vector<cell::QueuePolicy>& aQueues);
  /// The store has shown the cell's record unchanged.
  void Confirm(Instant aSentAt) { mTerm.Confirm(aSentAt); }
  /// The owner's key lasts for `aTtl` from the sending of a call.
  void ExtendKey(Instant aSentAt, Duration aTtl)
  {
    mTerm.ExtendKey(aSentAt, aTtl);
  }

  const cell::OwnerTerm& Term() const { return mTerm; }
  const cell::CellScheduler& Logic() const { return mLogic; }
  const OwnerFigures& Figures() const { return mFigures; }
  /// Of the last whole second; zeros before it.
  const cell::OwnerLoadSummary& LastLoad() const { return mLastLoad; }

private:
  /// The owner's side of one agent.
  struct AgentLink
  {
    Endpoint mEndpoint;
    Poke mPoke;
    Instant mLastContactAt{};
    Instant mAttachedAt{};
    Instant mWeightsSentAt{};
    bool mWorkerLeft = false; ///< By the agent's newest report.
    bool mRecorded = false;   ///< In the store, for the next owner.
    /// Of the agent's record. A removal depends on it, so that one which the
    /// store carries out late removes no newer record.
    Revision mRecordRevision = 0;
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
  void RunRecords();
  void RunCleanup();
  void RunLearnedSaves();
  void LoadLearned();
  void SaveLearned();
  void RunAdvice();
  void RunAgentLink(const AgentId& aAgent, AgentLink& aLink);

  absl::Status LoadJobs();
  absl::Status LoadAgents();
  void OnJobEvent(const StoreEvent& aEvent);
  cell::ReportReply HandleReport(const cell::ReportRequest& aReport);
  AgentLink& AgentLinkOf(const AgentId& aAgent, const Endpoint& aEndpoint);
  bool Attached(const AgentId& aAgent) const;
  bool SaveAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void RemoveAgentRecord(const AgentId& aAgent, AgentLink& aLink);
  void ForgetAgent(const AgentId& aAgent, AgentLink& aLink);
  Duration AttachRound(const AgentId& aAgent, AgentLink& aLink);
  Duration OrderRound(const AgentId& aAgent, AgentLink& aLink);
  void Detach(const AgentId& aAgent);

  bool RecordBatch();
  void OnConflict(const std::vector<cell::UnsavedProgress>& aBatch,
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
  Revision mJobsFrom = 0;
  /// Jobs whose progress cannot be read: what of them has run is not known, so
  /// that nothing of them is started.
  std::set<JobId> mUnreadableJobs;
  Poke mSchedulePoke;
  Poke mRecordPoke;
  OwnerFigures mFigures;
  bool mAdviceWanted = false; ///< A queue's workers are chosen by a service.
  bool mLoaded = false;
  bool mEnded = false;
};

} // namespace foxtailbarrow::scheduler
