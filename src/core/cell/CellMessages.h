#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/InterferenceEstimator.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/WorkerChange.h"
#include "src/core/cell/WorkerState.h"

/// Requests and replies between schedulers and task agents (JSON-RPC).
namespace foxtailbarrow::cell {

/// Number of a scheduler's term as owner of the cell; rises with each owner.
using Generation = std::int64_t;
/// One agreement between an owner and an agent on what runs; rises over all
/// agents and owners. Orders of an earlier session are dead at the worker.
using Session = std::int64_t;

/// What an agent needs to start a task.
struct StartOrder
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket; ///< Where another service chooses workers; else empty.
  Duration mLatencyTarget{}; ///< 0 = not a serving task.
  bool mBestEffort = false;  ///< May be slowed to protect serving tasks.
  std::string mImage;
  Resources mReserved{}; ///< Of the worker's capacity.
};

struct StopOrder
{
  TaskRef mTask;
  RunNumber mRun = 0;
};

/// What an agent must know of a task that it did not start itself.
struct TaskMetadata
{
  TaskRef mTask;
  Duration mLatencyTarget{};
  bool mBestEffort = false;
  std::string mImage;
  Resources mReserved{};
};

enum class StartOutcome : std::uint8_t
{
  Started,
  NoFreeCapacity, ///< The worker refused for lack of room.
  StaleRun,       ///< A run as high has ended or been stopped there.
  Unhealthy,  ///< The worker is unhealthy, draining, or another incarnation.
  NoLease,    ///< The agent's grant has run out.
  NoTicket,   ///< The worker rejected the ticket.
  NotStarted, ///< Certainly not started, for another reason.
  /// It does not fit the newest capacity that the agent knows: not sent.
  OverCapacity,
};

std::string_view ToString(StartOutcome aOutcome);

struct StartResult
{
  TaskRef mTask;
  RunNumber mRun = 0;
  StartOutcome mOutcome = StartOutcome::Started;
};

/// `agent.attach`: owner to agent. All orders of earlier sessions end.
struct AttachRequest
{
  Generation mGeneration = 0;
  Session mSession = 0;
  Endpoint mOwner;
};

struct AttachReply
{
  bool mAttached = false; ///< False: a higher generation is known.
  Generation mGeneration = 0;
  WorkerState mState;
};

/// `agent.order`: owner to agent, one at a time.
struct OrderRequest
{
  Session mSession = 0;
  std::int64_t mNumber = 0;       ///< Rises by one within a session, from 1.
  WorkerIncarnation mIncarnation; ///< The orders are for this one alone.
  std::vector<StartOrder> mStarts;
  std::vector<StopOrder> mStops;
  std::vector<TaskMetadata> mMetadata;
};

struct OrderReply
{
  bool mAccepted = false; ///< False: another session; nothing was done.
  std::vector<StartResult> mStarts;
};

/// Stands for the number of orders in a state that is newer than all of them.
inline constexpr std::int64_t kAllOrders =
  std::numeric_limits<std::int64_t>::max();

/// `cell.report`: agent to owner, on news and at intervals.
struct ReportRequest
{
  AgentId mAgent;
  Endpoint mEndpoint;
  Session mSession = 0;       ///< 0 = asks to be attached.
  std::int64_t mSequence = 0; ///< Rises within a session.
  /// Orders of the session up to this number were carried out before the state
  /// was taken: what they started and the state does not show is not there.
  std::int64_t mOrdersDone = 0;
  /// Number of the report of this session that `mChange` builds on; 0 = the
  /// state is told whole.
  std::int64_t mBase = 0;
  WorkerState mState;                  ///< Where there is no base.
  std::optional<WorkerChange> mChange; ///< Where there is one.
  /// The worker has answered lately. While it does not, its leases are not
  /// extended.
  bool mWorkerAnswers = true;
  /// Its process is gone, and with it all that it ran.
  bool mWorkerEnded = false;
  /// By the agent's clock, as RunningTask::mSince, so that the time that the
  /// report takes does not count: the newest answer, which the state is of.
  Duration mAnsweredAt{};
  Duration mLeaseLeft{}; ///< Until the last lease that it may hold is over.
  /// How long the reply to the report before took: it waited in the owner.
  Duration mReplyTook{};
};

struct ReportReply
{
  bool mOwner = false;    ///< The answering process owns the cell.
  bool mAttached = false; ///< The session is in force.
  Generation mGeneration = 0;
  std::vector<Endpoint> mOwnerAt; ///< Where the owner is; empty = unknown.
  /// Leases may be held so much longer, from the sending of the request.
  Duration mGrant{};
  std::int64_t mAcknowledged = 0; ///< Ends up to this one are recorded.
  /// The report's base was not the newest report taken: the next one must tell
  /// the whole state.
  bool mSendFullState = false;
  std::vector<InterferenceWeight>
    mPressures; ///< Of the images on the agent's worker.
};

/// `cell.find`: anyone to a scheduler.
struct FindOwner
{};

struct FindOwnerReply
{
  Generation mGeneration = 0;
  std::vector<Endpoint> mOwnerAt; ///< Empty = unknown.
};

enum class JobPhase : std::uint8_t
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

std::string_view ToString(JobPhase aPhase);

constexpr bool IsFinal(JobPhase aPhase)
{
  return aPhase == JobPhase::Completed || aPhase == JobPhase::Failed ||
         aPhase == JobPhase::Cancelled;
}

/// `cell.query`: scheduler to owner.
struct QueryJob
{
  JobId mJob;
};

struct QueryJobReply
{
  bool mOwner = false;
  bool mKnown = false;
  JobPhase mPhase = JobPhase::Queued;
};

/// `cell.waiting`: scheduler to owner.
struct QueryWaiting
{
  QueueId mQueue;
};

struct QueryWaitingReply
{
  bool mOwner = false;
  std::int64_t mWaiting = 0;
};

inline constexpr std::string_view kAttachMethod = "agent.attach";
inline constexpr std::string_view kOrderMethod = "agent.order";
inline constexpr std::string_view kReportMethod = "cell.report";
inline constexpr std::string_view kFindOwnerMethod = "cell.find";
inline constexpr std::string_view kQueryJobMethod = "cell.query";
inline constexpr std::string_view kQueryWaitingMethod = "cell.waiting";
inline constexpr std::string_view kRecordChangedMethod = "cell.changed";

} // namespace foxtailbarrow::cell
