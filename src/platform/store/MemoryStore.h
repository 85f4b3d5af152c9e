#pragma once

#include <functional>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Store.h"
#include "src/platform/store/FaultInjector.h"
#include "src/platform/store/KeyValueTable.h"
#include "src/platform/store/StoreCallCounts.h"

namespace foxtailbarrow {

/// In-memory store with fault injection, for tests and stand-ins. Its contents
/// are lost on destruction. Callable from any fiber and any plain thread; a
/// call that waits suspends only its own fiber or thread.
///
/// Verdicts: NotRun for a refused call, MayHaveRun for a lost reply.
class MemoryStore final : public Store
{
public:
  using Clock = std::function<Instant()>;
  using EventHandler = std::function<bool(const std::vector<StoreEvent>&)>;

  explicit MemoryStore(Clock aClock = MonotonicNow,
                       KeyValueLimits aLimits = {});

  void SetFaults(const StoreFaults& aFaults);
  StoreFaults Faults() const;

  /// Counts every call, including refused ones.
  const StoreCallCounts& Counts() const { return mCounts; }

  /// Ends every watch; later calls fail as in an outage.
  void Close();

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override;
  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override;
  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override;
  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override;
  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override;
  absl::Status RevokeLease(StoreLease aLease) override;
  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const EventHandler& aOnEvents) override;

  Revision LatestRevision() const;

  /// Like List() for any range, one page per call; see KeyValueTable::Range().
  /// `aCall` is the kind that the call counts as: Read or List.
  absl::StatusOr<KeyValuePage> Range(StoreCall aCall,
                                     const KeyRange& aRange,
                                     std::size_t aLimit,
                                     Revision aAt);

  /// Like Watch() for any range. Also calls `aOnEvents` without events after
  /// each `aSilence` without a change, so that it can end the watch.
  absl::Status WatchRange(const KeyRange& aRange,
                          Revision aFrom,
                          Duration aSilence,
                          const EventHandler& aOnEvents);

private:
  using Lock = std::unique_lock<boost::fibers::mutex>;

  template<typename Result>
  Result Call(StoreCall aCall, const std::function<Result(Instant)>& aApply);

  void Delay() const;
  absl::Status CheckWatchable() const;

  const Clock mClock;
  StoreCallCounts mCounts;
  mutable boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
  KeyValueTable mTable;
  FaultInjector mFaultInjector;
  bool mClosed = false;
};

} // namespace foxtailbarrow
