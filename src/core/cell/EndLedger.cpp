#include "src/core/cell/EndLedger.h"

namespace foxtailbarrow::cell {

void EndLedger::Reset(const WorkerIncarnation& aIncarnation)
{
  *this = EndLedger();
  mIncarnation = aIncarnation;
}

void EndLedger::Take(std::int64_t aNumber,
                     const JobId& aJob,
                     std::uint64_t aVersion)
{
  mSeen = aNumber;
  mPending.push_back({ aNumber, aJob, aVersion });
}

std::int64_t EndLedger::Acknowledge(const RecordedVersion& aRecorded)
{
  while (!mPending.empty() &&
         aRecorded(mPending.front().mJob) >= mPending.front().mVersion) {
    mAcknowledged = mPending.front().mNumber;
    mPending.pop_front();
  }
  return mAcknowledged;
}

} // namespace foxtailbarrow::cell
