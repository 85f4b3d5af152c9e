#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/crashes/CrashBlame.h"
#include "src/core/cell/records/EndAcknowledger.h"
#include "src/core/cell/throttling/WorkerInterference.h"
#include "src/core/cell/workers/WorkerUse.h"

namespace foxtailbarrow::cell {

enum class WorkerLink : std::uint8_t
{
  Detached, ///< No session; its tasks may run until their leases expire.
  Attached,
  Lost, ///< Its leases have expired: nothing runs there.
};

/// The owner's state of one worker.
struct WorkerEntry
{
  AgentId mId;
  Endpoint mEndpoint;
  WorkerLink mLink = WorkerLink::Detached;
  Session mSession = 0;
  std::int64_t mLastSequence = 0;
  WorkerState mReported;        ///< As of that report.
  bool mSendFullState = false;  ///< The last report had an unknown base.
  std::int64_t mLastOrder = 0;  ///< Number of the newest orders of the session.
  std::size_t mUnsentBytes = 0; ///< Of starts that wait to be sent.
  WorkerInfo mInfo;
  WorkerUse mUse;
  WorkerInterference mWorkerInterference; ///< Caused by that use.
  std::map<TaskRef, RunNumber> mRuns;
  /// Runs on the worker that belong to no job of this owner. They are stopped,
  /// and nothing is started while there are any.
  std::map<TaskRef, RunNumber> mForeign;
  EndAcknowledger mEnds;
  /// Runs lost while it did not answer; it is not known yet whether it crashed.
  std::vector<CrashedRun> mUnexplained;
  Instant mGrantedUntil{}; ///< End of the newest grant of this owner.
  /// Latest end of a lease that this or an earlier owner may have granted.
  Instant mLeasedUntil{};
  Instant mDetachedAt{};    ///< Valid while detached.
  Instant mCrashedAt{};     ///< When its newest crash was reported.
  Instant mStalledStopAt{}; ///< When a stalled task was last stopped.
  Instant mLeavesAt{};      ///< Valid while it drains.
  Instant mObservedAt{};    ///< When interference was last observed.
  bool mAnswers = true;     ///< It answers its agent.
  bool mCordoned = false;   ///< The operator wants no start in its domain.
  /// Its agent's record promises a next owner that nothing starts here.
  bool mRecordClosed = false;
  /// By the newest report, every run has an uptime of kFreshUptime or more.
  bool mAllPastFreshUptime = false;
  /// Its newest answer that its agent reported, by the agent's clock.
  Duration mAnsweredAt{};
  /// mAnsweredAt at the time of its last refusal of a start as unhealthy.
  std::optional<Duration> mUnhealthyAfter{};
  /// Its agent knows of a smaller capacity than the last report stated.
  bool mAwaitsReport = false;
  Instant mSilentLeaseEnd{}; ///< Valid while it does not answer.
  bool mEnded = false;       ///< Its agent reported this incarnation as ended.

  std::set<JobId> mFailingJobs; ///< Since the last task that ended done.
  std::int32_t mFailuresInRow = 0;
  Instant mAvoidUntil{}; ///< No start before, because of failures.

  /// It has refused a start and not answered since, as an ended worker does
  /// until its agent notices. A refused start leaves its capacity free, so more
  /// starts would follow.
  bool Unhealthy() const
  {
    return mUnhealthyAfter && mAnsweredAt <= *mUnhealthyAfter;
  }

  /// No run there has started recently: a crash would be evidence against the
  /// next start alone.
  bool HasNoRecentStart() const { return mRuns.empty() || mAllPastFreshUptime; }
};

} // namespace foxtailbarrow::cell
