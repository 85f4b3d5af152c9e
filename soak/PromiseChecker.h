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

/// What a caller was told of a submission, all its tries together.
enum class SubmitOutcome : std::uint8_t
{
  Nothing, ///< Some try may have been taken.
  Accepted,
  Refused, ///< Every try was refused, or never left.
};

/// Checks what callers and workers saw against what the system promises. Pure:
/// everything is told to it.
class PromiseChecker
{
public:
  explicit PromiseChecker(Resources aWorkerCapacity);

  // What callers see.

  void OnSubmitting(const cell::JobGraph& aGraph);
  void OnSubmitted(const JobId& aJob, SubmitOutcome aOutcome);
  void OnCancelling(const JobId& aJob) { mJobs.at(aJob).mCancelAsked = true; }
  void Cancelled(const JobId& aJob) { mJobs.at(aJob).mCancelled = true; }
  void OnPhaseShown(const JobId& aJob, cell::JobPhase aPhase);
  /// A caller was told that there is no such job.
  void OnUnknownJob(const JobId& aJob);

  // What workers see.

  void OnRunEvent(const std::string& aIncarnation,
                  const standin::RunEvent& aEvent);

  /// Which faults excuse a serving task that is over its target; none without.
  void SetFaultTimes(FaultTimeline aTimes)
  {
    mFaultTimeline = std::move(aTimes);
  }

  void OnHeartbeat(const standin::HeartbeatEvent& aEvent, Instant aNow);

  // At the end.

  /// What is still to come, in a calm system: empty when all is as it must be.
  std::vector<std::string> Missing() const;
  const std::vector<std::string>& Violations() const { return mViolations; }
  std::size_t Accepted() const;
  std::size_t Starts() const { return mStarts; }
  /// Times that a serving task was over its target for too long, excused ones
  /// included.
  std::size_t OverTargets() const { return mOverTarget; }

private:
  struct TaskFacts
  {
    std::map<std::string, cell::RunNumber> mLive; ///< By incarnation.
    /// Runs that ended done and that no lapse of their worker's lease has made
    /// void: whether another run started since.
    std::map<std::pair<std::string, cell::RunNumber>, bool> mDoneRuns;
    bool mDone = false;         ///< A run ended done.
    bool mAcknowledged = false; ///< And this was acknowledged.
    int mFailed = 0;
    int mCrashed = 0;            ///< Workers that went down under its runs.
    int mStartsAfterCrashes = 0; ///< Since the third of them.
  };

  struct JobFacts
  {
    cell::JobGraph mGraph;
    SubmitOutcome mTold = SubmitOutcome::Nothing;
    bool mCancelAsked = false;
    bool mCancelled = false;
    std::optional<cell::JobPhase> mLastPhase;
    std::map<cell::TaskRef, TaskFacts> mTasks;
  };

  void LeaseLapsed(const std::string& aIncarnation);
  void OnAcknowledged(const std::string& aIncarnation,
                      const standin::RunEvent& aEvent,
                      TaskFacts& aTask);
  void Started(const std::string& aIncarnation,
               const standin::RunEvent& aEvent,
               JobFacts& aJob);
  void OverTarget(const std::string& aIncarnation,
                  const standin::RunEvent& aEvent);
  void CheckOrder(const JobFacts& aJob, const cell::TaskRef& aTask);
  void CheckCapacity(const std::string& aIncarnation,
                     const standin::RunEvent& aEvent);
  ReportedCapacity& ReportedCapacityOf(const std::string& aIncarnation);
  bool StepDone(const JobFacts& aJob, std::int32_t aStep) const;
  bool AllDone(const JobFacts& aJob) const;
  std::string MissingOf(const JobFacts& aJob) const;
  void AddViolation(std::string aWhat)
  {
    mViolations.push_back(std::move(aWhat));
  }

  Resources mCapacity;
  std::map<JobId, JobFacts> mJobs;
  std::map<std::string, Resources> mUsed; ///< By incarnation.
  std::map<std::string, ReportedCapacity> mTold;
  std::vector<std::string> mViolations;
  std::size_t mStarts = 0;
  std::size_t mOverTarget = 0;
  std::optional<FaultTimeline> mFaultTimeline;
};

} // namespace foxtailbarrow::soak
