#include "src/core/cell/workers/ReportEncoder.h"

#include <utility>

namespace foxtailbarrow::cell {

/// Another incarnation numbers its ends anew. A worker that has left gets a
/// full report, which can be read without any earlier one.
bool ReportEncoder::CanSendChange(const WorkerState& aState) const
{
  return mAccepted && !aState.mInfo.mLeft &&
         aState.mInfo.mIncarnation == mAccepted->mState.mInfo.mIncarnation;
}

void ReportEncoder::Fill(WorkerState aState,
                         Instant aNow,
                         ReportRequest& aReport)
{
  mIncarnation = aState.mInfo.mIncarnation;
  if (!CanSendChange(aState)) {
    mFiguresAt = aNow;
    aReport.mBase = 0;
    aReport.mState = std::move(aState);
    return;
  }
  const bool figures = aNow - mFiguresAt >= kFiguresInterval;
  mFiguresAt = figures ? aNow : mFiguresAt;
  aReport.mBase = mAccepted->mSequence;
  aReport.mChange =
    ChangeBetween(mAccepted->mState,
                  aState,
                  figures ? TaskDetail::Figures : TaskDetail::Presence);
}

void ReportEncoder::OnAccepted(const ReportRequest& aReport)
{
  if (aReport.mBase == 0) {
    mAccepted = Accepted{ aReport.mSequence, aReport.mState };
    return;
  }
  if (!mAccepted || mAccepted->mSequence != aReport.mBase) {
    mAccepted.reset();
    return;
  }
  mAccepted->mSequence = aReport.mSequence;
  if (aReport.mChange) {
    Apply(*aReport.mChange, mAccepted->mState);
  }
}

} // namespace foxtailbarrow::cell
