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

/// What a feed has done. Safe from any thread.
struct WatchFeedCounters
{
  std::atomic<std::uint64_t> mListings = 0; ///< Listings that were applied.
  std::atomic<std::uint64_t> mBreaks = 0;   ///< Watches that ended.
  std::atomic<std::uint64_t> mChanges = 0;  ///< Changes handed over.
};

/// Follows all keys under a prefix: lists them, watches for changes and, when
/// the watch breaks, lists again after a jittered wait. One listing and one
/// waiting watch at a time; the watch of an entry process serves all others.
///
/// Hands over each change once, in revision order, and never an older one than
/// it has handed over. While the store is down nothing is handed over, so that
/// the receiver keeps its last state; Staleness() says how old that may be.
class WatchFeed
{
public:
  using Receiver = std::function<void(const std::vector<StoreEvent>&)>;

  /// `aStore` outlives this object.
  WatchFeed(Store& aStore,
            std::string aPrefix,
            Receiver aReceiver,
            BackoffLimits aLimits = {});

  /// Follows until Stop(). Suspends the calling fiber; `aReceiver` is called
  /// from it.
  void Run(absl::BitGenRef aRandom);

  /// Makes Run() return: at once while it waits to try again, else at the next
  /// change or the end of the watch.
  void Stop();

  /// Zero while a watch is open, else the time since the last one broke;
  /// nullopt before the first listing. A connection that is cut on the way
  /// shows only after the watch's idle timeout.
  std::optional<Duration> Staleness(Instant aNow) const;

  const WatchFeedCounters& Counters() const { return mCounters; }

private:
  /// Lists and watches once. True when the watch held so long that the store is
  /// well; one that breaks soon must not bring the waits down.
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
  /// End of the time of which the state is known to be the latest; the
  /// greatest instant while a watch is open, the least before any.
  std::atomic<Duration::rep> mFreshUntil = Duration::min().count();
  std::atomic<bool> mStopping = false;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mWake;
};

} // namespace foxtailbarrow
