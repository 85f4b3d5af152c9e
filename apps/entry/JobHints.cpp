#include "apps/entry/JobHints.h"

#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/Time.h"
#include "src/net/TypedRpc.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::size_t kMaxPending = 10'000;
constexpr Duration kAgainAfter = std::chrono::milliseconds(300);
/// Longer than a takeover of a shard from an owner that died.
constexpr Duration kGiveUpAfter = std::chrono::seconds(30);
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

} // namespace

JobHints::JobHints(ControlContext& aContext,
                   OwnerOf aOwnerOf,
                   TakeHere aTakeHere)
  : mContext(aContext)
  , mOwnerOf(std::move(aOwnerOf))
  , mTakeHere(std::move(aTakeHere))
  , mGivenUp(aContext.mMetrics.Counter(
      "job_hints_given_up_total",
      "Words about changed jobs that no owner took in time"))
{
}

void JobHints::Send(const JobChanged& aHint)
{
  const Instant giveUpAt = MonotonicNow() + kGiveUpAfter;
  if (const auto pending = mPending.find(aHint.mJob);
      pending != mPending.end()) {
    pending->second = giveUpAt;
    return;
  }
  if (mPending.size() >= kMaxPending) {
    mGivenUp.Increment();
    return;
  }
  mPending.emplace(aHint.mJob, giveUpAt);
  mContext.mRuntime.Spawn([this, aHint] { Deliver(aHint); });
}

void JobHints::Deliver(const JobChanged& aHint)
{
  while (!TryDeliver(aHint)) {
    if (MonotonicNow() > mPending[aHint.mJob]) {
      mGivenUp.Increment();
      break;
    }
    boost::this_fiber::sleep_for(kAgainAfter);
  }
  mPending.erase(aHint.mJob);
}

bool JobHints::TryDeliver(const JobChanged& aHint)
{
  if (mTakeHere(aHint)) {
    return true;
  }
  const auto owner = mOwnerOf(aHint.mShard);
  return owner &&
         net::CallTyped<JobChangedReply>(
           mContext.mRpc, *owner, kJobChangedMethod, aHint, kPeerTimeout)
           .ok();
}

} // namespace foxtailbarrow::entry
