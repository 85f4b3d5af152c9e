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

/// What is known of the latest assignment while the record says Assigned.
enum class AssignmentState : std::uint8_t
{
  Unsent,      ///< Committed, not yet sent: certainly does not run.
  Unconfirmed, ///< Sent, or taken over from another owner: may run.
  Running,     ///< Its agent said so.
  Released,    ///< Refused for good, or lapsed: certainly does not run.
};

/// A commit whose outcome is not known yet.
struct PendingCommit
{
  CommitToken mToken = 0;
  JobRecord mNext;
  /// Task whose end it records; acknowledged once applied.
  std::optional<TaskKey> mEnded;
  bool mIsAssignment = false; ///< Assigns; its booking was made for it.
  bool mReplyLost = false;    ///< The reply was lost; a read will tell.
};

/// Resources that a job holds in this process's books.
struct Allocation
{
  Resources mSize;
  std::optional<WorkerSlot> mWorker;
  bool mPending = false; ///< Not yet in the agent's own count.
};

/// One job of an owned shard, in memory.
struct JobEntry
{
  StoredJob mStored; ///< Newest record known to be in the store.
  ShardId mShard = 0;
  std::uint64_t mSerial = 0; ///< Order of arrival.

  std::unique_ptr<PendingCommit> mCommit; ///< Rare, hence not inside.
  Revision mSeenRevision = 0;             ///< Newest revision heard of.
  bool mReading = false;                  ///< A ReadJob is under way.
  bool mMustRead = false; ///< The store may hold something newer.
  bool mCancelWanted = false;

  AssignmentState mAssignmentState = AssignmentState::Unconfirmed;
  bool mInherited = false; ///< Not assigned by this process since it took over.
  AssignmentLease mLease;
  std::unique_ptr<TaskStatus> mEnd; ///< Reported, not yet recorded.
  bool mOutcomeRecorded = false;    ///< mEnd was counted for or against.
  std::optional<Allocation> mAllocation;
  Resources mPeak;      ///< Greatest usage measured in this assignment.
  Instant mStartedAt{}; ///< When it was first seen to run.
  Reason mEvictReason = Reason::None;    ///< None: it may stay.
  std::optional<WorkerSlot> mReservedOn; ///< Where tasks make room for it.
  Instant mReservedUntil{};

  Incarnation mSentTo = 0;       ///< Of the agent when Assign was first sent.
  bool mAssignInFlight = false;  ///< An Assign is under way.
  bool mAssignReplyLost = false; ///< Of an earlier Assign: it may have run.

  Instant mRetryAt{};      ///< After trouble with the store.
  Instant mNotBefore{};    ///< Of the next placement.
  Instant mResendAt{};     ///< Of an Assign or Control.
  Instant mTimerAt{};      ///< Of its timer; the clock's epoch = none.
  Instant mWaitingSince{}; ///< The clock's epoch = does not wait.
  std::int32_t mRetries = 0;
  ReadyQueue::Ticket mTicket = 0; ///< 0 = not queued.
  std::vector<WorkerSlot> mAvoid; ///< Where it failed or was refused lately.
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
