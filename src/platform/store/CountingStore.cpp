#include "src/platform/store/CountingStore.h"

namespace foxtailbarrow {

CountingStore::CountingStore(Store& aStore)
  : mStore(aStore)
{
}

absl::StatusOr<StoreEntry> CountingStore::Read(std::string_view aKey)
{
  mCounts.Add(StoreCall::Read);
  return mStore.Read(aKey);
}

absl::StatusOr<StoreEntry> CountingStore::ReadSerializable(
  std::string_view aKey)
{
  mCounts.Add(StoreCall::ReadSerializable);
  return mStore.ReadSerializable(aKey);
}

absl::StatusOr<StoreListing> CountingStore::List(std::string_view aPrefix)
{
  mCounts.Add(StoreCall::List);
  return mStore.List(aPrefix);
}

absl::StatusOr<StoreTransactionResult> CountingStore::Commit(
  const StoreTransaction& aTransaction)
{
  mCounts.Add(StoreCall::Commit);
  return mStore.Commit(aTransaction);
}

absl::StatusOr<StoreLease> CountingStore::GrantLease(Duration aTtl)
{
  mCounts.Add(StoreCall::GrantLease);
  return mStore.GrantLease(aTtl);
}

absl::StatusOr<Duration> CountingStore::KeepAlive(StoreLease aLease)
{
  mCounts.Add(StoreCall::KeepAlive);
  return mStore.KeepAlive(aLease);
}

absl::Status CountingStore::RevokeLease(StoreLease aLease)
{
  mCounts.Add(StoreCall::RevokeLease);
  return mStore.RevokeLease(aLease);
}

absl::Status CountingStore::Watch(
  std::string_view aPrefix,
  Revision aFrom,
  const std::function<bool(const std::vector<StoreEvent>&)>& aOnEvents)
{
  mCounts.Add(StoreCall::Watch);
  return mStore.Watch(aPrefix, aFrom, aOnEvents);
}

} // namespace foxtailbarrow
