#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "soak/FaultTimeline.h"
#include "soak/ReportedCapacity.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/JobGraph.h"
#include "standins/taskworker/TaskWorkerService.h"

namespace foxtailbarrow::soak {

/// Result of a submission over all attempts, as its caller sees it.
enum class SubmitOutcome : std::uint8_t
{
  Unknown, ///< Some attempt may have been accepted.
  Accepted,
  Refused, ///< Every attempt was refused or not sent.
};

/// Checks the events observed by callers and workers against the guarantees of
/// the system. No I/O, no clock.
class PromiseChecker
{
public:
  explicit PromiseChecker(Resources aWorkerCapacity);

  // Events observed by callers.

  void OnSubmitting(const cell::JobGraph& aGraph);
  void OnSubmitted(const JobId& aJob, SubmitOutcome aOutcome);
  void OnCancelling(const JobId& aJob)
  {
    mJobs.at(aJob).mCancelRequested = true;
  }
  void OnCancelled(const JobId& aJob) { mJobs.at(aJob).mCancelled = true; }
  void OnPhaseShown(const JobId& aJob, cell::JobPhase aPhase);
  /// A scheduler answered that the job does not exist.
  void OnUnknownJob(const JobId& aJob);

  // Events of the operator.

  /// The store has acknowledged the cordon of the failure domain.
  void OnCordonSet(const std::string& aFailureDomain, Instant aNow)
  {
    mCordons.try_emplace(aFailureDomain, aNow);
  }
  void OnCordonRemoved(const std::string& aFailureDomain)
  {
    mCordons.erase(aFailureDomain);
  }

  // Events observed by workers.

  void OnRunEvent(const std::string& aIncarnation,
                  const standin::RunEvent& aEvent);

  /// The faults that excuse a serving task over its target or a start in a
  /// cordoned failure domain. Without a timeline nothing is excused.
  void SetFaultTimeline(FaultTimeline aTimeline)
  {
    mFaultTimeline = std::move(aTimeline);
  }

  void OnHeartbeat(const standin::HeartbeatEvent& aEvent, Instant aNow);

  // Results.

  /// What must still happen once the faults have ended; empty when every job is
  /// in its required state.
  std::vector<std::string> Missing() const;
  const std::vector<std::string>& Violations() const { return mViolations; }
  std::size_t Accepted() const;
  std::size_t Starts() const { return mStarts; }
  /// How often a serving task was over its target for too long, excused cases
  /// included.
  std::size_t OverTargets() const { return mOverTarget; }

private:
  struct TaskFacts
  {
    std::map<std::string, cell::RunNumber> mLive; ///< By incarnation.
    /// Runs that ended done and whose worker's lease has not lapsed since; the
    /// value is true if another run has started since.
    std::map<std::pair<std::string, cell::RunNumber>, bool> mDoneRuns;
    bool mDone = false;         ///< A run ended done.
    bool mAcknowledged = false; ///< The end was acknowledged.
    int mFailed = 0;
    int mCrashed = 0;            ///< Runs lost with their worker.
    int mStartsAfterCrashes = 0; ///< After kMaxCrashes crashes.
  };

  struct JobFacts
  {
    cell::JobGraph mGraph;
    SubmitOutcome mOutcome = SubmitOutcome::Unknown;
    bool mCancelRequested = false;
    bool mCancelled = false;
    std::optional<cell::JobPhase> mLastPhase;
    std::map<cell::TaskRef, TaskFacts> mTasks;
  };

  void OnLeaseLapsed(const std::string& aIncarnation);
  void OnAcknowledged(const std::string& aIncarnation,
                      const standin::RunEvent& aEvent,
                      TaskFacts& aTask);
  void OnStarted(const std::string& aIncarnation,
                 const standin::RunEvent& aEvent,
                 JobFacts& aJob);
  void OnOverTarget(const std::string& aIncarnation,
                    const standin::RunEvent& aEvent);
  void CheckCordon(const std::string& aIncarnation,
                   const standin::RunEvent& aEvent);
  void CheckOrder(const JobFacts& aJob, const cell::TaskRef& aTask);
  void CheckCapacity(const std::string& aIncarnation,
                     const standin::RunEvent& aEvent);
  ReportedCapacity& ReportedCapacityOf(const std::string& aIncarnation);
  bool IsStepDone(const JobFacts& aJob, std::int32_t aStep) const;
  bool AreAllStepsDone(const JobFacts& aJob) const;
  std::string MissingOf(const JobFacts& aJob) const;
  void AddViolation(std::string aMessage)
  {
    mViolations.push_back(std::move(aMessage));
  }

  Resources mCapacity;
  std::map<JobId, JobFacts> mJobs;
  std::map<std::string, Resources> mUsed; ///< By incarnation.
  std::map<std::string, ReportedCapacity> mReportedCapacities;
  std::map<std::string, Instant> mCordons; ///< By failure domain, since when.
  std::map<std::string, std::string> mFailureDomains; ///< By incarnation.
  std::vector<std::string> mViolations;
  std::size_t mStarts = 0;
  std::size_t mOverTarget = 0;
  std::optional<FaultTimeline> mFaultTimeline;
};

} // namespace foxtailbarrow::soak
