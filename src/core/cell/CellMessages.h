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
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/throttling/InterferenceEstimator.h"
#include "src/core/cell/workers/WorkerChange.h"
#include "src/core/cell/workers/WorkerState.h"

/// Requests and replies between schedulers and task agents (JSON-RPC).
namespace foxtailbarrow::cell {

/// Number of a scheduler's term as owner of the cell; rises with each owner.
using Generation = std::int64_t;
/// Number of a session between an owner and an agent; rises over all agents and
/// owners. The worker rejects orders of earlier sessions.
using Session = std::int64_t;

/// What an agent needs to start a task.
struct StartOrder
{
  TaskRef mTask;
  RunNumber mRun = 0;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket;       ///< Empty unless another service chooses workers.
  Duration mLatencyTarget{}; ///< 0 = not a serving task.
  bool mBestEffort = false;  ///< May be throttled to protect serving tasks.
  std::string mImage;
  Resources mReserved{}; ///< Reserved part of the worker's capacity.
};

struct StopOrder
{
  TaskRef mTask;
  RunNumber mRun = 0;
};

/// Metadata that an agent needs of a task that it did not start itself.
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
  NoFreeCapacity, ///< The worker has too little free capacity.
  StaleRun,  ///< A run with this or a higher number ended or was stopped there.
  Unhealthy, ///< The worker is unhealthy, draining, or another incarnation.
  NoLease,   ///< The agent's grant has expired.
  NoTicket,  ///< The worker rejected the ticket.
  NotStarted, ///< Certainly not started, for another reason.
  /// Not sent: it exceeds the newest capacity that the agent knows of.
  OverCapacity,
};

std::string_view ToString(StartOutcome aOutcome);

/// Memory of the order. Its text takes about as much.
std::size_t MemoryOf(const StartOrder& aOrder);

struct StartResult
{
  TaskRef mTask;
  RunNumber mRun = 0;
  StartOutcome mOutcome = StartOutcome::Started;
};

/// `agent.attach`: owner to agent. Invalidates all orders of earlier sessions.
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
  WorkerIncarnation mIncarnation; ///< The orders are valid for this one only.
  std::vector<StartOrder> mStarts;
  std::vector<StopOrder> mStops;
  std::vector<TaskMetadata> mMetadata;
};

struct OrderReply
{
  bool mAccepted = false; ///< False: another session; nothing was done.
  std::vector<StartResult> mStarts;
};

/// `agent.cordon`: owner to agent, beside the orders, so that it overtakes
/// them.
struct CordonNotice
{
  Session mSession = 0;
  std::int64_t mNumber = 0; ///< Rises within a session, from 1.
  bool mCordoned = false;   ///< Nothing may start on the agent's worker.
};

struct CordonNoticeReply
{};

/// Number of orders done for a state that is newer than all orders.
inline constexpr std::int64_t kAllOrders =
  std::numeric_limits<std::int64_t>::max();

/// `cell.report`: agent to owner, on changes and periodically.
struct ReportRequest
{
  AgentId mAgent;
  Endpoint mEndpoint;
  Session mSession = 0;       ///< 0 = requests to be attached.
  std::int64_t mSequence = 0; ///< Rises within a session.
  /// Orders of the session up to this number were carried out before the state
  /// was read: runs that they started and that it lacks have ended.
  std::int64_t mOrdersDone = 0;
  /// Number of the report of this session that `mChange` is based on; 0 =
  /// `mState` holds the full state.
  std::int64_t mBase = 0;
  WorkerState mState;                  ///< Set without a base.
  std::optional<WorkerChange> mChange; ///< Set with a base.
  /// The worker has answered recently. While it does not, its leases are not
  /// extended.
  bool mWorkerAnswers = true;
  /// Its process has ended, and with it all its runs.
  bool mWorkerEnded = false;
  /// Time of the worker's answer with this state. By the agent's clock, as
  /// RunningTask::mSince, so that the delay of the report does not count.
  Duration mAnsweredAt{};
  Duration mLeaseLeft{}; ///< Until the last lease that it may hold expires.
  /// Time to the reply to the previous report, which includes its wait in the
  /// owner.
  Duration mReplyTook{};
};

struct ReportReply
{
  bool mOwner = false;    ///< The answering process owns the cell.
  bool mAttached = false; ///< The session is current.
  Generation mGeneration = 0;
  std::vector<Endpoint> mOwnerAt; ///< Endpoint of the owner; empty = unknown.
  /// Extends leases by this time from the sending of the request.
  Duration mGrant{};
  std::int64_t mAcknowledged = 0; ///< Ends up to this one are saved.
  /// The report's base was not the newest report: the next one must contain the
  /// full state.
  bool mSendFullState = false;
  /// Of the images on the agent's worker.
  std::vector<InterferenceWeight> mInterferenceWeights;
};

/// `cell.find`: any process to a scheduler.
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

/// `cell.acceptance`: scheduler to owner, before it stores a job while the
/// owner may be full.
struct QueryAcceptance
{};

struct QueryAcceptanceReply
{
  bool mOwner = false;
  bool mAccepts = false; ///< The owner has memory for more jobs.
};

/// As kAttachMethod, by an owner that reads the time of the worker's start:
/// messages are read strictly, so that agents state it to such owners only.
inline constexpr std::string_view kAttachWithStartTimeMethod =
  "agent.attachWithStartTime";
inline constexpr std::string_view kAttachMethod = "agent.attach";
inline constexpr std::string_view kCordonNoticeMethod = "agent.cordon";
inline constexpr std::string_view kCordonRowsMethod = "cell.cordons";
inline constexpr std::string_view kOrderMethod = "agent.order";
inline constexpr std::string_view kReportMethod = "cell.report";
inline constexpr std::string_view kFindOwnerMethod = "cell.find";
inline constexpr std::string_view kQueryJobMethod = "cell.query";
inline constexpr std::string_view kQueryWaitingMethod = "cell.waiting";
inline constexpr std::string_view kQueryAcceptanceMethod = "cell.acceptance";
inline constexpr std::string_view kRecordChangedMethod = "cell.changed";

} // namespace foxtailbarrow::cell
