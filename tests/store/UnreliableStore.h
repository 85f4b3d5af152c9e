#pragma once

#include <random>
#include <vector>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"
#include "src/platform/store/CountingStore.h"

namespace foxtailbarrow {

/// Forwards calls to another store and randomly loses replies, refuses calls
/// and delays transactions beyond their timeout: such a transaction is answered
/// MayHaveRun and takes effect during a later call, or never.
class UnreliableStore final : public CountingStore
{
public:
  UnreliableStore(Store& aStore, std::uint32_t aSeed)
    : CountingStore(aStore)
    , mStore(aStore)
    , mRandom(aSeed)
  {
  }

  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override
  {
    InterleaveAndDeliver();
    switch (mRandom() % 8) {
      case 0:
        return WithVerdict(absl::UnavailableError("down"), Verdict::NotRun);
      case 1:
        mDelayed.push_back(aTransaction);
        return Lost();
      case 2:
      case 3:
        mStore.Commit(aTransaction).IgnoreError();
        return Lost();
      default:
        return mStore.Commit(aTransaction);
    }
  }

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override
  {
    InterleaveAndDeliver();
    if (mRandom() % 8 == 0) {
      return WithVerdict(absl::UnavailableError("down"), Verdict::NotRun);
    }
    return mStore.Read(aKey);
  }

  /// Commits every delayed transaction.
  void DeliverDelayed()
  {
    for (const StoreTransaction& transaction : std::exchange(mDelayed, {})) {
      mStore.Commit(transaction).IgnoreError();
    }
  }

private:
  static absl::Status Lost()
  {
    return WithVerdict(absl::DeadlineExceededError("lost"),
                       Verdict::MayHaveRun);
  }

  /// Yields to other fibers, so that calls interleave, and sometimes commits
  /// the delayed transactions.
  void InterleaveAndDeliver()
  {
    for (auto yields = mRandom() % 3; yields > 0; --yields) {
      boost::this_fiber::yield();
    }
    if (mRandom() % 4 == 0) {
      DeliverDelayed();
    }
  }

  Store& mStore;
  std::mt19937 mRandom;
  std::vector<StoreTransaction> mDelayed;
};

} // namespace foxtailbarrow
