#include "src/core/cell/workers/WorkerLiveness.h"

#include <utility>

namespace foxtailbarrow::cell {

void WorkerLiveness::Begin(Instant aNow)
{
  mPolledAt = aNow;
  mLastAnswerAt = aNow;
  mAnswers = true;
  mEnded = false;
  mRefusals = 0;
}

bool WorkerLiveness::OnPoll(Instant aNow)
{
  mPolledAt = aNow;
  mLastAnswerAt = aNow;
  mEnded = false;
  mRefusals = 0;
  return std::exchange(mAnswers, true);
}

LivenessChange WorkerLiveness::OnPollFailed(bool aRefused, Instant aNow)
{
  mRefusals = aRefused ? mRefusals + 1 : 0;
  if (mRefusals >= kRefusalsToEnd) {
    mAnswers = false;
    return std::exchange(mEnded, true) ? LivenessChange::None
                                       : LivenessChange::Ended;
  }
  if (!mAnswers || aNow - mPolledAt <= kSilentAfter) {
    return LivenessChange::None;
  }
  mAnswers = false;
  return LivenessChange::Silent;
}

} // namespace foxtailbarrow::cell
