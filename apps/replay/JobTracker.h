#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Job.h"
#include "src/core/trace/ReplayTotals.h"
#include "src/core/trace/TraceEvents.h"

namespace foxtailbarrow::replay {

/// A job of the trace and its last known state.
struct ReplayedJob
{
  JobId mLineId; ///< Id in the trace.
  JobState mExpectedEnd = JobState::Finished;
  std::string mId;                ///< Assigned by the entry; empty = refused.
  std::optional<JobState> mState; ///< Last polled.
  std::string mReason;            ///< Reason of mState.
  std::int64_t mEvictions = 0;
  bool mUnknown = false; ///< Unknown to the entry that was last polled.
};

/// Tracks the jobs of a replay. Thread-safe.
class JobTracker
{
public:
  void OnAccepted(const TraceJob& aLine, std::string aId);
  void OnRefused(const TraceJob& aLine);

  /// The assigned id; empty when the job has not been accepted.
  std::string IdOf(const JobId& aLineId) const;

  void OnState(const JobId& aLineId,
               JobState aState,
               const std::string& aReason,
               std::int64_t aEvictions);
  void OnUnknown(const JobId& aLineId);

  /// Accepted jobs that are not in their expected end state.
  std::vector<ReplayedJob> Open() const;

  /// Adds the job counts, except those of the audit.
  void AddTo(ReplayTotals& aTotals) const;

  /// The assigned ids of accepted jobs.
  std::vector<std::string> Ids() const;

private:
  mutable std::mutex mMutex; ///< Guards mJobs.
  std::map<JobId, ReplayedJob> mJobs;
};

} // namespace foxtailbarrow::replay
