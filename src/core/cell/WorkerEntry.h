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
#include "src/core/cell/CrashBlame.h"
#include "src/core/cell/EndAcknowledger.h"
#include "src/core/cell/WorkerInterference.h"
#include "src/core/cell/WorkerUse.h"

namespace foxtailbarrow::cell {

enum class WorkerLink : std::uint8_t
{
  Detached, ///< No session; its tasks may run until their leases are over.
  Attached,
  Lost, ///< Its leases are over: nothing of it runs.
};

/// What the owner knows of one worker.
struct WorkerEntry
{
  AgentId mId;
  Endpoint mEndpoint;
  WorkerLink mLink = WorkerLink::Detached;
  Session mSession = 0;
  std::int64_t mLastSequence = 0;
  WorkerState mReported;       ///< As of that report.
  bool mSendFullState = false; ///< The last report built on another one.
  std::int64_t mLastOrder = 0; ///< Number of the newest orders of the session.
  WorkerInfo mInfo;
  WorkerUse mUse;
  WorkerInterference mWorkerInterference; ///< Of that use.
  std::map<TaskRef, RunNumber> mRuns;
  /// Runs that are there and that no job of ours accounts for; they are being
  /// stopped, and nothing is started while there is any.
  std::map<TaskRef, RunNumber> mForeign;
  EndAcknowledger mEnds;
  /// Runs lost while it was silent; whether it crashed is not known yet.
  std::vector<CrashedRun> mUnexplained;
  Instant mGrantedUntil{}; ///< End of the newest grant of this owner.
  /// Latest end of a lease that this or an earlier owner may have granted.
  Instant mLeasedUntil{};
  Instant mCrashedAt{};     ///< It was heard of its newest crash.
  Instant mStalledStopAt{}; ///< A stalled task was stopped last.
  Instant mLeavesAt{};      ///< While it drains.
  Instant mObservedAt{};    ///< Figures were last learned from.
  bool mAnswers = true;     ///< To its agent.
  /// The newest report shows all that may run there to have lived for
  /// kFreshUptime.
  bool mAllPastFreshUptime = false;
  /// Its newest answer that its agent told of, by the agent's clock.
  Duration mAnsweredAt{};
  /// That, when it last refused a start as unwell.
  std::optional<Duration> mUnhealthyAfter{};
  /// Its agent knows of a smaller capacity than the last report told.
  bool mAwaitsReport = false;
  Instant mSilentLeaseEnd{}; ///< While it does not answer.
  bool mEnded = false;       ///< This incarnation is gone, as its agent tells.

  std::set<JobId> mFailingJobs; ///< Since the last task that ended done.
  std::int32_t mFailuresInRow = 0;
  Instant mAvoidUntil{}; ///< Nothing is started before, after failures.

  /// It has refused a start and not answered since, as one that is gone does
  /// before its agent knows. Each start that is refused leaves its room free.
  bool Unhealthy() const
  {
    return mUnhealthyAfter && mAnsweredAt <= *mUnhealthyAfter;
  }

  /// Nothing of what runs there has started lately: a crash would speak against
  /// a next start alone.
  bool HasNoRecentStart() const { return mRuns.empty() || mAllPastFreshUptime; }
};

} // namespace foxtailbarrow::cell
