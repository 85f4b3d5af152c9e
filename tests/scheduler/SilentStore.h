#pragma once

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Store.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::scheduler::test {

/// A store that delays calls: all except watches while it is silent, and lists
/// while they are held. It may refuse reads, and leave out of the answer to a
/// failed transaction what it found.
class SilentStore final : public Store
{
public:
  explicit SilentStore(Store& aStore)
    : mStore(aStore)
  {
  }

  bool mSilent = false;
  bool mHoldLists = false;
  bool mListWaits = false; ///< A list call was held.
  bool mRefusesReads = false;
  bool mHidesConflicts = false;

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override
  {
    AwaitReturn();
    if (mRefusesReads) {
      return WithVerdict(absl::UnavailableError("refused"), Verdict::NotRun);
    }
    return mStore.Read(aKey);
  }

  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override
  {
    while (mHoldLists) {
      mListWaits = true;
      Pause();
    }
    AwaitReturn();
    return mStore.List(aPrefix);
  }

  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override
  {
    AwaitReturn();
    auto result = mStore.Commit(aTransaction);
    if (result.ok() && mHidesConflicts) {
      result->mCurrent.clear();
    }
    return result;
  }

  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override
  {
    AwaitReturn();
    return mStore.GrantLease(aTtl);
  }

  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override
  {
    AwaitReturn();
    return mStore.KeepAlive(aLease);
  }

  absl::Status RevokeLease(StoreLease aLease) override
  {
    AwaitReturn();
    return mStore.RevokeLease(aLease);
  }

  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const std::function<bool(const std::vector<StoreEvent>&)>&
                       aOnEvents) override
  {
    return mStore.Watch(aPrefix, aFrom, aOnEvents);
  }

private:
  static void Pause()
  {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
  }

  void AwaitReturn() const
  {
    while (mSilent) {
      Pause();
    }
  }

  Store& mStore;
};

} // namespace foxtailbarrow::scheduler::test
