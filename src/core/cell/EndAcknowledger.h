#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "foxtailbarrow/Id.h"
#include "src/core/cell/WorkerState.h"

namespace foxtailbarrow::cell {

/// Decides which ends of one worker may be acknowledged: those up to the first
/// one whose job's progress is not recorded yet. Acknowledged ends are
/// forgotten by the worker, so that the record must come first.
class EndAcknowledger
{
public:
  /// Returns the recorded version of a job's progress; the greatest number for
  /// a job that needs no record.
  using SavedVersion = std::function<std::uint64_t(const JobId&)>;

  /// A worker of another incarnation numbers its ends from 1.
  void Reset(const WorkerIncarnation& aIncarnation);
  const WorkerIncarnation& Incarnation() const { return mIncarnation; }

  /// False when this end was taken before.
  bool IsNew(std::int64_t aNumber) const { return aNumber > mLastNumber; }

  /// Takes an end that is covered once `aJob` is recorded at `aVersion`.
  void Add(std::int64_t aNumber, const JobId& aJob, std::uint64_t aVersion);

  /// Highest number that may be acknowledged.
  std::int64_t Acknowledge(const SavedVersion& aRecorded);

  bool Empty() const { return mPending.empty(); }

private:
  struct Pending
  {
    std::int64_t mNumber = 0;
    JobId mJob;
    std::uint64_t mVersion = 0;
  };

  WorkerIncarnation mIncarnation;
  std::int64_t mLastNumber = 0;
  std::int64_t mAcknowledged = 0;
  std::deque<Pending> mPending;
};

} // namespace foxtailbarrow::cell
