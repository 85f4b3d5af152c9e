#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/Backoff.h"
#include "src/platform/store/WatchedKeys.h"

namespace foxtailbarrow {

/// Statistics of a WatchFeed. Safe from any thread.
struct WatchFeedCounters
{
  std::atomic<std::uint64_t> mListings = 0; ///< Listings that were applied.
  std::atomic<std::uint64_t> mBreaks = 0;   ///< Watches that ended.
  std::atomic<std::uint64_t> mChanges = 0;  ///< Changes delivered.
};

/// Follows all keys under a prefix: lists them, watches for changes and, when
/// the watch breaks, lists again after a jittered wait. At most one listing and
/// one watch at a time; an entry process needs a single watch.
///
/// Delivers each change once, in revision order, and never one that is older
/// than a delivered one. While the store is down nothing is delivered, so that
/// the receiver keeps its last state; Staleness() bounds the age of that state.
class WatchFeed
{
public:
  using Receiver = std::function<void(const std::vector<StoreEvent>&)>;

  /// `aStore` must outlive this object.
  WatchFeed(Store& aStore,
            std::string aPrefix,
            Receiver aReceiver,
            BackoffLimits aLimits = {});

  /// Runs until Stop(). Suspends the calling fiber, which also calls the
  /// receiver.
  void Run(absl::BitGenRef aRandom);

  /// Makes Run() return: at once during a backoff wait, otherwise at the next
  /// change or the end of the watch.
  void Stop();

  /// Zero while a watch is open, else the time since the last one broke;
  /// nullopt before the first listing. A silently dropped connection is only
  /// detected after the watch's idle timeout.
  std::optional<Duration> Staleness(Instant aNow) const;

  const WatchFeedCounters& Counters() const { return mCounters; }

private:
  /// Lists and watches once. True when the watch lasted long enough to reset
  /// the backoff; a watch that breaks early must not shorten the waits.
  bool ListAndWatch();
  void Deliver(const WatchedKeys::Changes& aChanges);
  void SetFreshUntil(Instant aInstant);
  void Wait(Duration aSpan);

  Store& mStore;
  const std::string mPrefix;
  const Receiver mReceiver;
  const BackoffLimits mLimits;
  Backoff mBackoff;
  WatchedKeys mKeys; ///< Used by Run() alone.
  WatchFeedCounters mCounters;
  /// Until when the state is known to be current: the greatest instant while a
  /// watch is open, the least before the first.
  std::atomic<Duration::rep> mFreshUntil = Duration::min().count();
  std::atomic<bool> mStopping = false;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mWake;
};

} // namespace foxtailbarrow
