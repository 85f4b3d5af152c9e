#include "src/platform/store/WatchFeed.h"

#include <mutex>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration::rep kNever = Duration::min().count();

} // namespace

WatchFeed::WatchFeed(Store& aStore,
                     std::string aPrefix,
                     Receiver aReceiver,
                     BackoffLimits aLimits)
  : mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mReceiver(std::move(aReceiver))
  , mLimits(aLimits)
  , mBackoff(aLimits)
{
}

void WatchFeed::Run(absl::BitGenRef aRandom)
{
  while (!mStopping) {
    if (ListAndWatch()) {
      mBackoff.Reset();
    }
    Wait(mBackoff.Next(aRandom));
  }
}

bool WatchFeed::ListAndWatch()
{
  const auto listing = mStore.List(mPrefix);
  if (!listing.ok() || mStopping) {
    return false;
  }
  const auto changes = mKeys.Apply(*listing);
  if (!changes) {
    return false;
  }
  ++mCounters.mListings;
  const Instant opened = MonotonicNow();
  SetFreshUntil(Instant::max());
  Deliver(*changes);
  mStore
    .Watch(mPrefix,
           mKeys.LatestRevision(),
           [this](const std::vector<StoreEvent>& aEvents) {
             if (mStopping) {
               return false;
             }
             Deliver(mKeys.Apply(aEvents));
             return true;
           })
    .IgnoreError();
  ++mCounters.mBreaks;
  const Instant broken = MonotonicNow();
  SetFreshUntil(broken);
  return broken - opened >= mLimits.mMax;
}

void WatchFeed::Deliver(const WatchedKeys::Changes& aChanges)
{
  if (!aChanges.empty()) {
    mCounters.mChanges += aChanges.size();
    mReceiver(aChanges);
  }
}

void WatchFeed::SetFreshUntil(Instant aInstant)
{
  mFreshUntil = aInstant.time_since_epoch().count();
}

void WatchFeed::Wait(Duration aSpan)
{
  std::unique_lock<boost::fibers::mutex> lock(mMutex);
  mWake.wait_for(lock, aSpan, [this] { return mStopping.load(); });
}

void WatchFeed::Stop()
{
  const std::unique_lock<boost::fibers::mutex> lock(mMutex);
  mStopping = true;
  mWake.notify_all();
}

std::optional<Duration> WatchFeed::Staleness(Instant aNow) const
{
  const Duration::rep freshUntil = mFreshUntil;
  if (freshUntil == kNever) {
    return std::nullopt;
  }
  const Duration since = aNow.time_since_epoch() - Duration(freshUntil);
  return std::max(since, Duration::zero());
}

} // namespace foxtailbarrow
