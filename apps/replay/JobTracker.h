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

/// A job of the trace as the system knows it.
struct ReplayedJob
{
  JobId mLineId; ///< In the trace.
  JobState mExpectedEnd = JobState::Finished;
  std::string mId;                ///< Told by the entry; empty = not accepted.
  std::optional<JobState> mState; ///< Last seen.
  std::string mReason;            ///< Last seen, of that state.
  std::int64_t mEvictions = 0;
  bool mUnknown = false; ///< The entry last asked said "no such job".
};

/// The jobs of a replay. Callable from any thread.
class JobTracker
{
public:
  void Accept(const TraceJob& aLine, std::string aId);
  void Refuse(const TraceJob& aLine);

  /// Empty when the job was not accepted (yet).
  std::string IdOf(const JobId& aLineId) const;

  void OnState(const JobId& aLineId,
               JobState aState,
               const std::string& aReason,
               std::int64_t aEvictions);
  void OnUnknown(const JobId& aLineId);

  /// Accepted jobs that have not ended as stated.
  std::vector<ReplayedJob> Open() const;

  /// Fills the part of the totals that is about jobs, audit excluded.
  void AddTo(ReplayTotals& aTotals) const;

  /// Ids, as the system knows them, of accepted jobs.
  std::vector<std::string> Ids() const;

private:
  mutable std::mutex mMutex; ///< Guards mJobs.
  std::map<JobId, ReplayedJob> mJobs;
};

} // namespace foxtailbarrow::replay
