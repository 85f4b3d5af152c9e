#include "src/core/cell/HeartbeatOrder.h"

namespace foxtailbarrow::cell {

HeartbeatUse HeartbeatOrder::Judge(const WorkerIncarnation& aIncarnation,
                                   std::int64_t aSequence) const
{
  if (mCurrent.Empty()) {
    return HeartbeatUse::Take;
  }
  if (aIncarnation != mCurrent) {
    return HeartbeatUse::Confirm;
  }
  return mGone || aSequence <= mSequence ? HeartbeatUse::Ignore
                                         : HeartbeatUse::Take;
}

void HeartbeatOrder::NoteTaken(const WorkerIncarnation& aIncarnation,
                               std::int64_t aSequence)
{
  mCurrent = aIncarnation;
  mSequence = aSequence;
  mGone = false;
}

bool HeartbeatOrder::NoteGone(const WorkerIncarnation& aIncarnation)
{
  if (aIncarnation != mCurrent || mGone) {
    return false;
  }
  mGone = true;
  return true;
}

} // namespace foxtailbarrow::cell
