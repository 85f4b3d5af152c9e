#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"
#include "src/core/job/DecisionLog.h"
#include "src/core/job/JobEvent.h"
#include "src/core/job/LeaseBounds.h"
#include "src/core/job/ReadyQueue.h"
#include "src/core/job/StoredJob.h"

namespace foxtailbarrow {

/// State of the latest assignment while the record is Assigned.
enum class AssignmentState : std::uint8_t
{
  Unsent,      ///< Committed but not sent: certainly does not run.
  Unconfirmed, ///< Sent, or inherited from another owner: may run.
  Running,     ///< Reported as running by its agent.
  Released,    ///< Finally refused, or expired: certainly does not run.
};

/// A commit whose outcome is not known yet.
struct PendingCommit
{
  CommitToken mToken = 0;
  JobRecord mNext;
  /// Task whose end it saves; acknowledged once applied.
  std::optional<TaskKey> mEnded;
  bool mIsAssignment = false; ///< Its allocation was made for this commit.
  bool mReplyLost = false;    ///< A read resolves the outcome.
};

/// Resources allocated to a job by this process.
struct Allocation
{
  Resources mSize;
  std::optional<WorkerSlot> mWorker;
  bool mPending = false; ///< Not yet reported as reserved by the agent.
};

/// One job of an owned shard, in memory.
struct JobEntry
{
  StoredJob mStored; ///< Newest record known to be stored.
  ShardId mShard = 0;
  std::uint64_t mSerial = 0; ///< Order of arrival.

  std::unique_ptr<PendingCommit> mCommit; ///< By pointer, because it is rare.
  Revision mSeenRevision = 0;             ///< Newest revision observed.
  bool mReading = false;                  ///< A ReadJob is in flight.
  bool mMustRead = false; ///< The store may hold a newer record.
  bool mCancelWanted = false;

  AssignmentState mAssignmentState = AssignmentState::Unconfirmed;
  bool mInherited = false; ///< Assigned before this process acquired the shard.
  AssignmentLease mLease;
  std::unique_ptr<TaskStatus> mEnd; ///< Reported, not yet saved.
  bool mOutcomeRecorded = false;    ///< mEnd was evaluated.
  std::optional<Allocation> mAllocation;
  Resources mPeak;      ///< Maximum usage measured in this assignment.
  Instant mStartedAt{}; ///< When it was first reported as running.
  Reason mEvictReason = Reason::None;    ///< None = not being evicted.
  std::optional<WorkerSlot> mReservedOn; ///< Where tasks are evicted for it.
  Instant mReservedUntil{};

  Incarnation mSentTo = 0;       ///< Of the agent when Assign was first sent.
  bool mAssignInFlight = false;  ///< Sent, no reply yet.
  bool mAssignReplyLost = false; ///< Of an earlier Assign: it may have run.

  Instant mRetryAt{};      ///< After a store error.
  Instant mNotBefore{};    ///< Earliest time of the next placement.
  Instant mResendAt{};     ///< When an Assign or Control is sent again.
  Instant mTimerAt{};      ///< Its timer; the clock's epoch = none.
  Instant mWaitingSince{}; ///< The clock's epoch = not waiting.
  std::int32_t mRetries = 0;
  ReadyQueue::Ticket mTicket = 0; ///< 0 = not queued.
  std::vector<WorkerSlot> mAvoid; ///< Where it recently failed or was refused.
  DecisionLog mDecisions;

  const JobSpec& Spec() const { return mStored.mRecord.mSpec; }
  const JobRecord& Record() const { return mStored.mRecord; }
  TaskKey Key() const { return { Spec().mId, Record().mEpoch }; }
  bool IsAssigned() const { return Record().mState == JobState::Assigned; }
  bool CancelPending() const
  {
    return mCancelWanted || Record().mCancelRequested;
  }
};

} // namespace foxtailbarrow
