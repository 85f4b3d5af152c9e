#include "src/platform/store/MemoryStore.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

namespace {

/// Longest delay until a watch notices an expired lease.
constexpr Duration kExpiryCheckInterval = std::chrono::milliseconds(10);

absl::Status Refused(std::string_view aReason)
{
  const absl::string_view reason(aReason.data(), aReason.size());
  return WithVerdict(absl::UnavailableError(reason), Verdict::NotRun);
}

absl::Status RateLimitReached()
{
  return WithVerdict(absl::ResourceExhaustedError("too many requests"),
                     Verdict::NotRun);
}

absl::Status ReplyLost()
{
  return WithVerdict(absl::DeadlineExceededError("reply lost"),
                     Verdict::MayHaveRun);
}

template<typename T>
absl::StatusOr<T> NotRunOnError(absl::StatusOr<T> aResult)
{
  if (!aResult.ok()) {
    return WithVerdict(aResult.status(), Verdict::NotRun);
  }
  return aResult;
}

absl::Status NotRunOnError(absl::Status aStatus)
{
  return aStatus.ok() ? aStatus
                      : WithVerdict(std::move(aStatus), Verdict::NotRun);
}

} // namespace

MemoryStore::MemoryStore(Clock aClock, KeyValueLimits aLimits)
  : mClock(std::move(aClock))
  , mTable(aLimits)
{
}

void MemoryStore::SetFaults(const StoreFaults& aFaults)
{
  const Lock lock(mMutex);
  mFaultInjector.Set(aFaults, mClock());
  mChanged.notify_all();
}

StoreFaults MemoryStore::Faults() const
{
  const Lock lock(mMutex);
  return mFaultInjector.Faults();
}

void MemoryStore::Close()
{
  const Lock lock(mMutex);
  mClosed = true;
  mChanged.notify_all();
}

Revision MemoryStore::LatestRevision() const
{
  const Lock lock(mMutex);
  return mTable.LatestRevision();
}

void MemoryStore::Delay() const
{
  if (const Duration delay = Faults().mDelay; delay > Duration::zero()) {
    boost::this_fiber::sleep_for(delay);
  }
}

template<typename Result>
Result MemoryStore::Call(StoreCall aCall,
                         const std::function<Result(Instant)>& aApply)
{
  mCounts.Add(aCall);
  Delay();
  const Lock lock(mMutex);
  const Instant now = mClock();
  mTable.Expire(now);
  const FaultDecision decision =
    mClosed ? FaultDecision::Outage : mFaultInjector.Decide(aCall, now);
  if (decision == FaultDecision::Outage) {
    return Refused("the store is down");
  }
  if (decision == FaultDecision::Refuse) {
    return RateLimitReached();
  }
  Result result = NotRunOnError(aApply(now));
  if (IsWrite(aCall)) {
    mChanged.notify_all();
  }
  if (decision == FaultDecision::LoseReply) {
    return ReplyLost();
  }
  return result;
}

absl::StatusOr<KeyValuePage> MemoryStore::Range(StoreCall aCall,
                                                const KeyRange& aRange,
                                                std::size_t aLimit,
                                                Revision aAt)
{
  return Call<absl::StatusOr<KeyValuePage>>(
    aCall, [&](Instant) { return mTable.Range(aRange, aLimit, aAt); });
}

absl::StatusOr<StoreEntry> MemoryStore::Read(std::string_view aKey)
{
  auto page = Range(StoreCall::Read, KeyRange::Single(aKey), 1, 0);
  if (!page.ok()) {
    return page.status();
  }
  if (page->mEntries.empty()) {
    return WithVerdict(absl::NotFoundError("key not found"), Verdict::NotRun);
  }
  return std::move(page->mEntries.front());
}

absl::StatusOr<StoreListing> MemoryStore::List(std::string_view aPrefix)
{
  auto page = Range(StoreCall::List, KeyRange::Prefix(aPrefix), 0, 0);
  if (!page.ok()) {
    return page.status();
  }
  return StoreListing{ std::move(page->mEntries), page->mRevision };
}

absl::StatusOr<StoreTransactionResult> MemoryStore::Commit(
  const StoreTransaction& aTransaction)
{
  return Call<absl::StatusOr<StoreTransactionResult>>(
    StoreCall::Commit, [&](Instant) { return mTable.Commit(aTransaction); });
}

absl::StatusOr<StoreLease> MemoryStore::GrantLease(Duration aTtl)
{
  return Call<absl::StatusOr<StoreLease>>(
    StoreCall::GrantLease,
    [&](Instant aNow) { return mTable.GrantLease(aTtl, aNow); });
}

absl::StatusOr<Duration> MemoryStore::KeepAlive(StoreLease aLease)
{
  return Call<absl::StatusOr<Duration>>(
    StoreCall::KeepAlive,
    [&](Instant aNow) { return mTable.KeepAlive(aLease, aNow); });
}

absl::Status MemoryStore::RevokeLease(StoreLease aLease)
{
  return Call<absl::Status>(StoreCall::RevokeLease, [&](Instant) {
    return mTable.RevokeLease(aLease);
  });
}

absl::Status MemoryStore::Watch(std::string_view aPrefix,
                                Revision aFrom,
                                const EventHandler& aOnEvents)
{
  return WatchRange(KeyRange::Prefix(aPrefix),
                    aFrom,
                    Duration::max(),
                    [&](const std::vector<StoreEvent>& aEvents) {
                      return aEvents.empty() || aOnEvents(aEvents);
                    });
}

absl::Status MemoryStore::CheckWatchable() const
{
  if (mClosed || mFaultInjector.Faults().mOutage) {
    return Refused("the store is down");
  }
  return absl::OkStatus();
}

absl::Status MemoryStore::WatchRange(const KeyRange& aRange,
                                     Revision aFrom,
                                     Duration aSilence,
                                     const EventHandler& aOnEvents)
{
  absl::Status opened = Call<absl::Status>(
    StoreCall::Watch, [](Instant) { return absl::OkStatus(); });
  if (!opened.ok()) {
    return opened;
  }
  Lock lock(mMutex);
  Duration silence{};
  for (;;) {
    if (absl::Status broken = CheckWatchable(); !broken.ok()) {
      return broken;
    }
    mTable.Expire(mClock());
    const auto events = mTable.EventsAfter(aRange, aFrom);
    if (!events.ok()) {
      return NotRunOnError(events.status());
    }
    aFrom = std::max(aFrom, mTable.LatestRevision());
    if (events->empty() && silence < aSilence) {
      mChanged.wait_for(lock, kExpiryCheckInterval);
      silence += kExpiryCheckInterval;
      continue;
    }
    silence = Duration::zero();
    lock.unlock();
    if (!aOnEvents(*events)) {
      return absl::OkStatus();
    }
    lock.lock();
  }
}

} // namespace foxtailbarrow
