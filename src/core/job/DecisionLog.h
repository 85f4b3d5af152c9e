#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// One decision about a job, for `jobs explain`.
struct Decision
{
  static constexpr WorkerSlot kNoWorker = ~WorkerSlot{ 0 };

  Instant mAt{};    ///< When it fell last.
  Epoch mEpoch = 0; ///< Of the record then.
  WorkerSlot mWorker = kNoWorker;
  std::uint32_t mTimes = 1; ///< How often in a row.
  JobState mState = JobState::Queued;
  Reason mReason = Reason::None;
};

/// The latest decisions about one job, oldest first. Bounded; a decision that
/// repeats the one before it raises its count instead of taking a place.
class DecisionLog
{
public:
  static constexpr std::size_t kLimit = 8;

  void RecordDecision(const Decision& aDecision);
  std::span<const Decision> Entries() const { return mEntries; }

private:
  std::vector<Decision> mEntries;
};

} // namespace foxtailbarrow
