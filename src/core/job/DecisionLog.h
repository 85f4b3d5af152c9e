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

  Instant mAt{};    ///< Latest occurrence.
  Epoch mEpoch = 0; ///< Of the record at that time.
  WorkerSlot mWorker = kNoWorker;
  std::uint32_t mTimes = 1; ///< Consecutive occurrences.
  JobState mState = JobState::Queued;
  Reason mReason = Reason::None;
};

/// The latest decisions about one job, oldest first. Bounded; a decision equal
/// to the previous one increments its count instead of adding an entry.
class DecisionLog
{
public:
  static constexpr std::size_t kLimit = 8;

  void Add(const Decision& aDecision);
  std::span<const Decision> Entries() const { return mEntries; }

private:
  std::vector<Decision> mEntries;
};

} // namespace foxtailbarrow
