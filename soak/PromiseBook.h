#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "soak/FaultTimes.h"
#include "soak/ToldCapacity.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/JobGraph.h"
#include "standins/taskworker/TaskWorkerService.h"

namespace foxtailbarrow::soak {

/// What a caller was told of a submission, all its tries together.
enum class Told : std::uint8_t
{
  Nothing, ///< Some try may have been taken.
  Accepted,
  Refused, ///< Every try was refused, or never left.
};

/// Checks what callers and workers saw against what the system promises. Pure:
/// everything is told to it.
class PromiseBook
{
public:
  explicit PromiseBook(Resources aWorkerCapacity);

  // What callers see.

  void Submitting(const cell::JobGraph& aGraph);
  void Submitted(const JobId& aJob, Told aTold);
  void Cancelling(const JobId& aJob) { mJobs.at(aJob).mCancelAsked = true; }
  void Cancelled(const JobId& aJob) { mJobs.at(aJob).mCancelled = true; }
  void Shown(const JobId& aJob, cell::JobPhase aPhase);
  /// A caller was told that there is no such job.
  void ShownGone(const JobId& aJob);

  // What workers see.

  void Mark(const std::string& aIncarnation, const standin::RunMark& aMark);

  /// Which faults excuse a serving task that is over its target; none without.
  void TakeFaultTimes(FaultTimes aTimes) { mFaultTimes = std::move(aTimes); }

  void Beat(const standin::BeatMark& aMark, Instant aNow);

  // At the end.

  /// What is still to come, in a calm system: empty when all is as it must be.
  std::vector<std::string> Missing() const;
  const std::vector<std::string>& Broken() const { return mBroken; }
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
    bool mDone = false;  ///< A run ended done.
    bool mNoted = false; ///< And this was acknowledged.
    int mFailed = 0;
    int mCrashed = 0;     ///< Workers that went down under its runs.
    int mStartsAfter = 0; ///< Since the third of them.
  };

  struct JobFacts
  {
    cell::JobGraph mGraph;
    Told mTold = Told::Nothing;
    bool mCancelAsked = false;
    bool mCancelled = false;
    std::optional<cell::JobPhase> mShown;
    std::map<cell::TaskRef, TaskFacts> mTasks;
  };

  void LeaseLapsed(const std::string& aIncarnation);
  void Noted(const std::string& aIncarnation,
             const standin::RunMark& aMark,
             TaskFacts& aTask);
  void Started(const std::string& aIncarnation,
               const standin::RunMark& aMark,
               JobFacts& aJob);
  void OverTarget(const std::string& aIncarnation,
                  const standin::RunMark& aMark);
  void CheckOrder(const JobFacts& aJob, const cell::TaskRef& aTask);
  void CheckCapacity(const std::string& aIncarnation,
                     const standin::RunMark& aMark);
  ToldCapacity& ToldOf(const std::string& aIncarnation);
  bool StepDone(const JobFacts& aJob, std::int32_t aStep) const;
  bool AllDone(const JobFacts& aJob) const;
  std::string MissingOf(const JobFacts& aJob) const;
  void Break(std::string aWhat) { mBroken.push_back(std::move(aWhat)); }

  Resources mCapacity;
  std::map<JobId, JobFacts> mJobs;
  std::map<std::string, Resources> mUsed; ///< By incarnation.
  std::map<std::string, ToldCapacity> mTold;
  std::vector<std::string> mBroken;
  std::size_t mStarts = 0;
  std::size_t mOverTarget = 0;
  std::optional<FaultTimes> mFaultTimes;
};

} // namespace foxtailbarrow::soak
