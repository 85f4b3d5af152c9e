#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/EndLedger.h"

namespace foxtailbarrow::cell {

enum class WorkerLink : std::uint8_t
{
  Detached, ///< No session; its tasks may run until their leases are over.
  Attached,
  Lost, ///< Its leases are over: nothing of it runs.
};

/// The serving tasks of one standing job on a worker.
struct ServingUse
{
  std::string mImage;
  std::int32_t mTasks = 0;
};

/// What runs on a worker, by kind of use.
struct WorkerUse
{
  Resources mReserved;        ///< Counted against the capacity.
  std::int64_t mStanding = 0; ///< Millicores of standing tasks.
  std::int64_t mLeftover = 0; ///< Millicores that leftover tasks want.
  std::map<JobId, ServingUse> mServing; ///< By standing job.
  /// Millicores that leftover tasks want, by image.
  std::map<std::string, std::int64_t> mLeftoverOf;
  /// The part of it whose tasks were stalled at the last look.
  std::map<std::string, std::int64_t> mStalledOf;
  std::int64_t mLeftoverUsed = 0; ///< Millicores, by the last look's figures.
};

/// Images of the serving tasks.
std::set<std::string_view> ServingImages(const WorkerUse& aUse);

/// What the owner knows of one worker.
struct WorkerEntry
{
  AgentId mId;
  Endpoint mEndpoint;
  WorkerLink mLink = WorkerLink::Detached;
  Session mSession = 0;
  std::int64_t mLastSequence = 0;
  WorkerState mReported;       ///< As of that report.
  bool mSendWhole = false;     ///< The last report built on another one.
  std::int64_t mLastOrder = 0; ///< Number of the newest orders of the session.
  WorkerInfo mInfo;
  WorkerUse mUse;
  std::map<TaskRef, RunNumber> mRuns;
  /// Runs that are there and that no job of ours accounts for; they are being
  /// stopped, and nothing is started while there is any.
  std::map<TaskRef, RunNumber> mForeign;
  EndLedger mEnds;
  Instant mGrantedUntil{}; ///< End of the newest grant of this owner.
  /// Latest end of a lease that this or an earlier owner may have granted.
  Instant mHeldUntil{};
  Instant mMovedAt{};        ///< A stalled task was stopped last.
  Instant mLeavesAt{};       ///< While it drains.
  Instant mObservedAt{};     ///< Figures were last learned from.
  bool mAnswers = true;      ///< To its agent.
  Instant mSilentLeaseEnd{}; ///< While it does not answer.

  std::set<JobId> mFailingJobs; ///< Since the last task that ended done.
  std::int32_t mFailuresInRow = 0;
  Instant mAvoidUntil{}; ///< Nothing is started before, after failures.
};

} // namespace foxtailbarrow::cell
