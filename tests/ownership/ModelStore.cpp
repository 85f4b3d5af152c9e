#include "tests/ownership/ModelStore.h"

#include <algorithm>

namespace foxtailbarrow::test {

StoreResult ModelStore::Apply(const StoreCommand& aCall, Duration aNow)
{
  ++mCalls;
  ExpireLeases(aNow);
  return std::visit([&](const auto& aAny) { return Run(aAny, aNow); }, aCall);
}

StoreResult ModelStore::Run(const GrantLeaseCall& aCall, Duration aNow)
{
  mLeases[++mLastLease] = { aCall.mTtl, aNow + aCall.mTtl };
  return LeaseGranted{ mLastLease };
}

StoreResult ModelStore::Run(const KeepAliveCall& aCall, Duration aNow)
{
  const auto lease = mLeases.find(aCall.mLease);
  if (lease == mLeases.end()) {
    return LeaseNotFound{};
  }
  lease->second.mEnds = aNow + lease->second.mTtl;
  return LeaseKept{};
}

StoreResult ModelStore::Run(const RevokeLeaseCall& aCall, Duration aNow)
{
  if (const auto lease = mLeases.find(aCall.mLease); lease != mLeases.end()) {
    lease->second.mEnds = aNow;
    ExpireLeases(aNow);
  }
  return LeaseRevoked{};
}

StoreResult ModelStore::Run(const ListCall& aCall, Duration)
{
  StoreListing listing{ {}, mRevision };
  for (auto key = mKeys.lower_bound(aCall.mPrefix);
       key != mKeys.end() && key->first.starts_with(aCall.mPrefix);
       ++key) {
    listing.mEntries.push_back(key->second);
  }
  return listing;
}

StoreResult ModelStore::Run(const CommitCall& aCall, Duration)
{
  const auto& [compares, writes] = aCall.mTransaction;
  const auto holds = [this](const StoreCompare& aCompare) {
    const auto key = mKeys.find(aCompare.mKey);
    return aCompare.mModRevision ==
           (key == mKeys.end() ? 0 : key->second.mModRevision);
  };
  const auto leased = [this](const StoreWrite& aWrite) {
    return aWrite.mLease == 0 || mLeases.contains(aWrite.mLease);
  };
  if (compares.size() > 128 || writes.size() > 128 ||
      !std::ranges::all_of(writes, leased)) {
    return CallFailed{ Verdict::NotRun };
  }
  if (!std::ranges::all_of(compares, holds)) {
    return StoreTransactionResult{ false, mRevision };
  }
  ++mRevision;
  for (const StoreWrite& write : writes) {
    if (write.mValue) {
      mKeys[write.mKey] = {
        write.mKey, *write.mValue, mRevision, write.mLease
      };
    } else {
      mKeys.erase(write.mKey);
    }
  }
  return StoreTransactionResult{ true, mRevision };
}

void ModelStore::ExpireLeases(Duration aNow)
{
  std::erase_if(mLeases, [aNow](const auto& aLease) {
    return aLease.second.mEnds <= aNow;
  });
  std::erase_if(mKeys, [this](const auto& aKey) {
    return aKey.second.mLease != 0 && !mLeases.contains(aKey.second.mLease);
  });
}

} // namespace foxtailbarrow::test
