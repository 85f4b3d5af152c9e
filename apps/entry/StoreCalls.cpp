#include "apps/entry/StoreCalls.h"

#include <variant>

namespace foxtailbarrow::entry {

namespace {

StoreResult Failed(const absl::Status& aStatus)
{
  return CallFailed{ VerdictOf(aStatus) };
}

template<typename Value>
StoreResult ResultOf(absl::StatusOr<Value> aResult)
{
  if (!aResult.ok()) {
    return Failed(aResult.status());
  }
  return *std::move(aResult);
}

/// Executes each kind of call. NotFound for a lease is a result, not a failure.
class CallRunner
{
public:
  explicit CallRunner(Store& aStore)
    : mStore(aStore)
  {
  }

  StoreResult operator()(const GrantLeaseCall& aCall) const
  {
    const absl::StatusOr<StoreLease> lease = mStore.GrantLease(aCall.mTtl);
    if (!lease.ok()) {
      return Failed(lease.status());
    }
    return LeaseGranted{ *lease };
  }

  StoreResult operator()(const KeepAliveCall& aCall) const
  {
    const absl::StatusOr<Duration> ttl = mStore.KeepAlive(aCall.mLease);
    if (ttl.ok()) {
      return LeaseKept{};
    }
    return NotFoundOrFailed(ttl.status());
  }

  StoreResult operator()(const RevokeLeaseCall& aCall) const
  {
    const absl::Status status = mStore.RevokeLease(aCall.mLease);
    if (status.ok()) {
      return LeaseRevoked{};
    }
    return NotFoundOrFailed(status);
  }

  StoreResult operator()(const ListCall& aCall) const
  {
    return ResultOf(mStore.List(aCall.mPrefix));
  }

  StoreResult operator()(const CommitCall& aCall) const
  {
    return ResultOf(mStore.Commit(aCall.mTransaction));
  }

private:
  static StoreResult NotFoundOrFailed(const absl::Status& aStatus)
  {
    if (absl::IsNotFound(aStatus)) {
      return LeaseNotFound{};
    }
    return Failed(aStatus);
  }

  Store& mStore;
};

} // namespace

StoreResult RunStoreCall(Store& aStore, const StoreCommand& aCall)
{
  return std::visit(CallRunner(aStore), aCall);
}

} // namespace foxtailbarrow::entry
