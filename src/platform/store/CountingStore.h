#pragma once

#include "foxtailbarrow/Store.h"
#include "src/platform/store/StoreCallCounts.h"

namespace foxtailbarrow {

/// Forwards every call to another store and counts calls by kind, because the
/// store limits calls. `aStore` must outlive this object.
class CountingStore : public Store
{
public:
  explicit CountingStore(Store& aStore);

  const StoreCallCounts& Counts() const { return mCounts; }

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override;
  absl::StatusOr<StoreEntry> ReadSerializable(std::string_view aKey) override;
  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override;
  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override;
  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override;
  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override;
  absl::Status RevokeLease(StoreLease aLease) override;
  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const std::function<bool(const std::vector<StoreEvent>&)>&
                       aOnEvents) override;

private:
  Store& mStore;
  StoreCallCounts mCounts;
};

} // namespace foxtailbarrow
