#include "src/core/cell/workers/HeartbeatOrder.h"

namespace foxtailbarrow::cell {

namespace {

/// Largest plausible jump of the sequence number: a million heartbeats, or ten
/// days, lost in a row. If a larger one were accepted, all later heartbeats
/// would count as outdated.
constexpr std::int64_t kMaxLost = 1'000'000;

} // namespace

HeartbeatDecision HeartbeatOrder::Classify(
  const WorkerIncarnation& aIncarnation,
  std::int64_t aSequence) const
{
  if (mCurrent.Empty()) {
    return HeartbeatDecision::Accept;
  }
  if (aIncarnation != mCurrent) {
    return HeartbeatDecision::Confirm;
  }
  if (aSequence - mSequence > kMaxLost) {
    return HeartbeatDecision::Foreign;
  }
  return mGone || aSequence <= mSequence ? HeartbeatDecision::Ignore
                                         : HeartbeatDecision::Accept;
}

void HeartbeatOrder::OnAccepted(const WorkerIncarnation& aIncarnation,
                                std::int64_t aSequence)
{
  mCurrent = aIncarnation;
  mSequence = aSequence;
  mGone = false;
}

DeregistrationDecision HeartbeatOrder::ClassifyDeregistration(
  const WorkerIncarnation& aIncarnation) const
{
  if (mGone || !aIncarnation.MayBeSame(mCurrent)) {
    return DeregistrationDecision::Ignore;
  }
  return aIncarnation == mCurrent ? DeregistrationDecision::Accept
                                  : DeregistrationDecision::Confirm;
}

} // namespace foxtailbarrow::cell
