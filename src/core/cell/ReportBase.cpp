#include "src/core/cell/ReportBase.h"

#include <utility>

namespace foxtailbarrow::cell {

/// Another incarnation numbers its ends anew, and one that has left is told
/// whole, so that the report can be read without any other.
bool ReportBase::MayTellChange(const WorkerState& aState) const
{
  return mTaken && !aState.mInfo.mGone &&
         aState.mInfo.mIncarnation == mTaken->mState.mInfo.mIncarnation;
}

void ReportBase::Fill(WorkerState aState, Instant aNow, ReportRequest& aReport)
{
  mIncarnation = aState.mInfo.mIncarnation;
  if (!MayTellChange(aState)) {
    mFiguresAt = aNow;
    aReport.mBase = 0;
    aReport.mState = std::move(aState);
    return;
  }
  const bool figures = aNow - mFiguresAt >= kFiguresEvery;
  mFiguresAt = figures ? aNow : mFiguresAt;
  aReport.mBase = mTaken->mSequence;
  aReport.mChange =
    ChangeBetween(mTaken->mState,
                  aState,
                  figures ? TaskDetail::Figures : TaskDetail::Presence);
}

void ReportBase::NoteTaken(const ReportRequest& aReport)
{
  if (aReport.mBase == 0) {
    mTaken = Taken{ aReport.mSequence, aReport.mState };
    return;
  }
  if (!mTaken || mTaken->mSequence != aReport.mBase) {
    mTaken.reset();
    return;
  }
  mTaken->mSequence = aReport.mSequence;
  if (aReport.mChange) {
    Apply(*aReport.mChange, mTaken->mState);
  }
}

} // namespace foxtailbarrow::cell
