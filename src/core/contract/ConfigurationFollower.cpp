#include "src/core/contract/ConfigurationFollower.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

Revision ConfigurationFollower::CursorFor(const EntryId& aEntry) const
{
  return mResync && mResync->mEntry == aEntry ? mResync->mCursor : mThrough;
}

std::vector<CustomerId> ConfigurationFollower::Apply(
  const EntryId& aEntry,
  const ConfigurationDelta& aDelta,
  const ContractFilter& aFilter)
{
  std::vector<CustomerId> changed;
  // The entry is behind this agent: its contracts may have been replaced since.
  if (aDelta.mAsOf < mThrough) {
    return changed;
  }
  Merge(aDelta, changed);
  if (aDelta.mFrom <= mThrough) {
    mThrough = std::max(mThrough, aDelta.mThrough);
  }
  if (IsNextStep(aEntry, aDelta)) {
    ApplyStep(aDelta, aFilter, changed);
  } else if (IsComparable(aDelta)) {
    Compare(aEntry, aDelta, aFilter);
  }
  return changed;
}

void ConfigurationFollower::Merge(const ConfigurationDelta& aDelta,
                                  std::vector<CustomerId>& aChanged)
{
  for (const Contract& contract : aDelta.mContracts) {
    if (mView.Set(contract) == ApplyResult::Applied) {
      aChanged.push_back(contract.mCustomer);
    }
  }
  for (const CustomerId& customer : aDelta.mRemoved) {
    const bool wasInForce = mView.Find(customer) != nullptr;
    if (mView.Remove(customer, aDelta.mThrough) == ApplyResult::Applied &&
        wasInForce) {
      aChanged.push_back(customer);
    }
  }
}

bool ConfigurationFollower::IsComparable(const ConfigurationDelta& aDelta) const
{
  return aDelta.Complete() && mThrough >= aDelta.mNewest &&
         mView.Newest() <= aDelta.mAsOf;
}

void ConfigurationFollower::Compare(const EntryId& aEntry,
                                    const ConfigurationDelta& aDelta,
                                    const ContractFilter& aFilter)
{
  if (mView.Digest(aFilter) == aDelta.mDigest) {
    mResync.reset();
  } else {
    ChooseSource(aEntry, aFilter);
  }
}

void ConfigurationFollower::BeginResync(const EntryId& aEntry,
                                        const ContractFilter& aFilter)
{
  mResync = Resync{ aEntry, 0, aFilter, {}, {} };
}

void ConfigurationFollower::ChooseSource(const EntryId& aEntry,
                                         const ContractFilter& aFilter)
{
  // An entry that replies twice between two steps is faster than the source,
  // which may have failed.
  if (!mResync || !mResync->mMismatchingEntries.insert(aEntry).second) {
    BeginResync(aEntry, aFilter);
  }
}

bool ConfigurationFollower::IsNextStep(const EntryId& aEntry,
                                       const ConfigurationDelta& aDelta) const
{
  return mResync && mResync->mEntry == aEntry &&
         mResync->mCursor == aDelta.mFrom;
}

void ConfigurationFollower::ApplyStep(const ConfigurationDelta& aDelta,
                                      const ContractFilter& aFilter,
                                      std::vector<CustomerId>& aChanged)
{
  mResync->mCursor = aDelta.mThrough;
  mResync->mMismatchingEntries.clear();
  absl::erase_if(mResync->mFilter.mTaskCustomers,
                 [&](const CustomerId& aCustomer) {
                   return !aFilter.mTaskCustomers.contains(aCustomer);
                 });
  for (const Contract& contract : aDelta.mContracts) {
    mResync->mSeen.insert(contract.mCustomer);
  }
  if (aDelta.Complete()) {
    DropUnseen(aDelta.mAsOf, aChanged);
    mThrough = std::max(mThrough, aDelta.mNewest);
    mResync.reset();
  }
}

void ConfigurationFollower::DropUnseen(Revision aAsOf,
                                       std::vector<CustomerId>& aChanged)
{
  std::vector<CustomerId> outdated;
  for (const auto& record : mView.ByRevision()) {
    if (record->mContract && record->mRevision <= aAsOf &&
        mResync->mFilter.Passes(*record->mContract) &&
        !mResync->mSeen.contains(record->mCustomer)) {
      outdated.push_back(record->mCustomer);
    }
  }
  for (const CustomerId& customer : outdated) {
    mView.Drop(customer);
    aChanged.push_back(customer);
  }
}

} // namespace foxtailbarrow
