#pragma once

#include "foxtailbarrow/Store.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/cell/StoreHealth.h"

namespace foxtailbarrow {

/// Forwards every call to another store and tracks whether the store answers.
/// An open watch does not count as an unanswered call, but its events count as
/// answers. All calls must come from one thread.
class HealthTrackingStore : public Store
{
private:
  static const absl::Status& StatusOf(const absl::Status& aStatus)
  {
    return aStatus;
  }
  template<typename T>
  static const absl::Status& StatusOf(const absl::StatusOr<T>& aResult)
  {
    return aResult.status();
  }

  template<typename Call>
  auto Track(Call aCall)
  {
    const Instant sentAt = MonotonicNow();
    mHealth.OnSent(sentAt);
    auto result = aCall();
    mHealth.OnEnded(sentAt, EndOf(StatusOf(result)), MonotonicNow());
    return result;
  }

  static cell::StoreCallEnd EndOf(const absl::Status& aStatus)
  {
    if (aStatus.ok()) {
      return cell::StoreCallEnd::Served;
    }
    if (VerdictOf(aStatus) != Verdict::NotRun) {
      return cell::StoreCallEnd::Unanswered;
    }
    // Other errors, as a missing key, are results.
    const bool refused =
      absl::IsUnavailable(aStatus) || absl::IsResourceExhausted(aStatus);
    return refused ? cell::StoreCallEnd::Refused : cell::StoreCallEnd::Served;
  }

public:
  explicit HealthTrackingStore(Store& aStore)
    : mStore(aStore)
  {
  }

  bool Answers() const { return mHealth.Answers(MonotonicNow()); }
  Duration SinceAnswer() const { return mHealth.SinceAnswer(MonotonicNow()); }
  Duration OutageAge() const { return mHealth.OutageAge(MonotonicNow()); }

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override
  {
    return Track([&] { return mStore.Read(aKey); });
  }
  absl::StatusOr<StoreEntry> ReadSerializable(std::string_view aKey) override
  {
    const Instant sentAt = MonotonicNow();
    mHealth.OnSent(sentAt);
    auto entry = mStore.ReadSerializable(aKey);
    const Instant now = MonotonicNow();
    if (EndOf(entry.status()) == cell::StoreCallEnd::Served) {
      mHealth.OnSerializableRead(sentAt, now);
    } else {
      mHealth.OnEnded(sentAt, EndOf(entry.status()), now);
    }
    return entry;
  }
  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override
  {
    return Track([&] { return mStore.List(aPrefix); });
  }
  absl::StatusOr<Revision> ListEach(
    std::string_view aPrefix,
    const std::function<void(StoreEntry)>& aOnEntry) override
  {
    return Track([&] { return mStore.ListEach(aPrefix, aOnEntry); });
  }
  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override
  {
    return Track([&] { return mStore.Commit(aTransaction); });
  }
  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override
  {
    return Track([&] { return mStore.GrantLease(aTtl); });
  }
  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override
  {
    return Track([&] { return mStore.KeepAlive(aLease); });
  }
  absl::Status RevokeLease(StoreLease aLease) override
  {
    return Track([&] { return mStore.RevokeLease(aLease); });
  }
  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const std::function<bool(const std::vector<StoreEvent>&)>&
                       aOnEvents) override
  {
    return mStore.Watch(
      aPrefix, aFrom, [&](const std::vector<StoreEvent>& aEvents) {
        mHealth.OnAnswer(MonotonicNow());
        return aOnEvents(aEvents);
      });
  }

private:
  Store& mStore;
  cell::StoreHealth mHealth;
};

} // namespace foxtailbarrow
