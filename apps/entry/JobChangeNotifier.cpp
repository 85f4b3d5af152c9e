#include "apps/entry/JobChangeNotifier.h"

#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/Time.h"
#include "src/net/TypedRpc.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::size_t kMaxPending = 10'000;
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
/// Longer than the takeover of a shard from an owner that died.
constexpr Duration kGiveUpAfter = std::chrono::seconds(30);
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

} // namespace

JobChangeNotifier::JobChangeNotifier(ControlContext& aContext,
                                     OwnerOf aOwnerOf,
                                     HandleLocally aHandleLocally)
  : mContext(aContext)
  , mOwnerOf(std::move(aOwnerOf))
  , mHandleLocally(std::move(aHandleLocally))
  , mAbandoned(aContext.mMetrics.Counter(
      "job_hints_given_up_total",
      "Notifications of changed jobs that no owner confirmed"))
{
}

void JobChangeNotifier::Send(const JobChanged& aChange)
{
  const Instant giveUpAt = MonotonicNow() + kGiveUpAfter;
  if (const auto pending = mPending.find(aChange.mJob);
      pending != mPending.end()) {
    pending->second = giveUpAt;
    return;
  }
  if (mPending.size() >= kMaxPending) {
    mAbandoned.Increment();
    return;
  }
  mPending.emplace(aChange.mJob, giveUpAt);
  mContext.mRuntime.Spawn([this, aChange] { Deliver(aChange); });
}

void JobChangeNotifier::Deliver(const JobChanged& aChange)
{
  while (!TryDeliver(aChange)) {
    if (MonotonicNow() > mPending[aChange.mJob]) {
      mAbandoned.Increment();
      break;
    }
    boost::this_fiber::sleep_for(kRetryInterval);
  }
  mPending.erase(aChange.mJob);
}

bool JobChangeNotifier::TryDeliver(const JobChanged& aChange)
{
  if (mHandleLocally(aChange)) {
    return true;
  }
  const auto owner = mOwnerOf(aChange.mShard);
  return owner &&
         net::CallTyped<JobChangedReply>(
           mContext.mRpc, *owner, kJobChangedMethod, aChange, kPeerTimeout)
           .ok();
}

} // namespace foxtailbarrow::entry
