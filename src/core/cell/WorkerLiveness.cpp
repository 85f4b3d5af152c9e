#include "src/core/cell/WorkerLiveness.h"

#include <utility>

namespace foxtailbarrow::cell {

void WorkerLiveness::Begin(Instant aNow)
{
  mAnsweredAt = aNow;
  mAliveAt = aNow;
  mAnswers = true;
  mEnded = false;
  mRefusals = 0;
}

bool WorkerLiveness::NoteLook(Instant aNow)
{
  mAnsweredAt = aNow;
  mAliveAt = aNow;
  mEnded = false;
  mRefusals = 0;
  return std::exchange(mAnswers, true);
}

LivenessNews WorkerLiveness::NoteFailedLook(bool aRefused, Instant aNow)
{
  mRefusals = aRefused ? mRefusals + 1 : 0;
  if (mRefusals >= kRefusalsOfEnded) {
    mAnswers = false;
    return std::exchange(mEnded, true) ? LivenessNews::None
                                       : LivenessNews::Ended;
  }
  if (!mAnswers || aNow - mAnsweredAt <= kSilentAfter) {
    return LivenessNews::None;
  }
  mAnswers = false;
  return LivenessNews::Silent;
}

} // namespace foxtailbarrow::cell
