#include "src/core/contract/ConfigurationView.h"

#include <algorithm>
#include <utility>

#include "src/core/message/Codec.h"
#include "src/core/routing/StableHash.h"

namespace foxtailbarrow {

namespace {

/// The digest of a set is the XOR of its members' digests, so that a member can
/// be removed.
std::uint64_t DigestOf(const Contract& aContract)
{
  return MixBits(StableHash(aContract.mCustomer.Value()) +
                 static_cast<std::uint64_t>(aContract.mRevision));
}

std::size_t WireBytes(const Contract& aContract)
{
  return ToJsonText(aContract).size();
}

struct OlderThan
{
  bool operator()(Revision aRevision,
                  const std::shared_ptr<const ContractRecord>& aRecord) const
  {
    return aRevision < aRecord->mRevision;
  }
};

} // namespace

const ContractRecord* ConfigurationView::Record(
  const CustomerId& aCustomer) const
{
  const auto found = mRecords.find(aCustomer);
  return found == mRecords.end() ? nullptr : found->second.get();
}

const Contract* ConfigurationView::Find(const CustomerId& aCustomer) const
{
  const ContractRecord* record = Record(aCustomer);
  return record == nullptr ? nullptr : record->mContract.get();
}

Revision ConfigurationView::Newest() const
{
  return mByRevision.empty() ? 0 : mByRevision.back()->mRevision;
}

ApplyResult ConfigurationView::Set(const Contract& aContract)
{
  return Put({ aContract.mCustomer,
               aContract.mRevision,
               std::make_shared<const Contract>(aContract),
               WireBytes(aContract) });
}

ApplyResult ConfigurationView::Remove(const CustomerId& aCustomer,
                                      Revision aRevision)
{
  return Put({ aCustomer, aRevision, nullptr, aCustomer.Value().size() });
}

ApplyResult ConfigurationView::Put(ContractRecord aRecord)
{
  if (const ContractRecord* known = Record(aRecord.mCustomer);
      known != nullptr && known->mRevision >= aRecord.mRevision) {
    return ApplyResult::AlreadyKnown;
  }
  Replace(std::move(aRecord));
  return ApplyResult::Applied;
}

void ConfigurationView::Drop(const CustomerId& aCustomer)
{
  if (const ContractRecord* known = Record(aCustomer)) {
    Replace({ aCustomer, known->mRevision, nullptr, aCustomer.Value().size() });
  }
}

void ConfigurationView::Replace(ContractRecord aRecord)
{
  if (const ContractRecord* known = Record(aRecord.mCustomer)) {
    Unlink(*known);
  }
  Link(std::make_shared<const ContractRecord>(std::move(aRecord)));
  ForgetOldRemovals();
}

void ConfigurationView::Unlink(const ContractRecord& aRecord)
{
  if (aRecord.mContract == nullptr) {
    --mRemovals;
  } else {
    mServiceDigests[aRecord.mContract->mService] ^=
      DigestOf(*aRecord.mContract);
  }
  const auto [first, last] =
    std::equal_range(mByRevision.begin(),
                     mByRevision.end(),
                     mRecords.at(aRecord.mCustomer),
                     [](const Pointer& aLeft, const Pointer& aRight) {
                       return aLeft->mRevision < aRight->mRevision;
                     });
  mByRevision.erase(std::find_if(first, last, [&](const Pointer& aCandidate) {
    return aCandidate.get() == &aRecord;
  }));
}

void ConfigurationView::Link(Pointer aRecord)
{
  if (aRecord->mContract == nullptr) {
    ++mRemovals;
  } else {
    mServiceDigests[aRecord->mContract->mService] ^=
      DigestOf(*aRecord->mContract);
  }
  const auto position = std::upper_bound(
    mByRevision.begin(), mByRevision.end(), aRecord->mRevision, OlderThan{});
  mByRevision.insert(position, aRecord);
  mRecords[aRecord->mCustomer] = std::move(aRecord);
}

void ConfigurationView::ForgetOldRemovals()
{
  if (mRemovals <= kMaxRemovals) {
    return;
  }
  const auto oldest = std::find_if(
    mByRevision.begin(), mByRevision.end(), [](const Pointer& aRecord) {
      return aRecord->mContract == nullptr;
    });
  mRecords.erase((*oldest)->mCustomer);
  mByRevision.erase(oldest);
  --mRemovals;
}

ConfigurationDelta ConfigurationView::ChangesSince(
  Revision aSince,
  const ContractFilter& aFilter,
  std::size_t aMaxBytes) const
{
  ConfigurationDelta delta;
  delta.mFrom = aSince;
  delta.mNewest = Newest();
  delta.mAsOf = delta.mNewest;
  delta.mThrough = std::max(aSince, delta.mNewest);
  delta.mDigest = Digest(aFilter);
  std::size_t bytes = 0;
  Revision visited = aSince;
  auto next = std::upper_bound(
    mByRevision.begin(), mByRevision.end(), aSince, OlderThan{});
  for (; next != mByRevision.end(); ++next) {
    const ContractRecord& record = **next;
    if (bytes >= aMaxBytes && record.mRevision != visited) {
      delta.mThrough = visited;
      break;
    }
    visited = record.mRevision;
    if (record.mContract == nullptr) {
      delta.mRemoved.push_back(record.mCustomer);
      bytes += record.mBytes;
    } else if (aFilter.Passes(*record.mContract)) {
      delta.mContracts.push_back(*record.mContract);
      bytes += record.mBytes;
    }
  }
  return delta;
}

std::uint64_t ConfigurationView::Digest(const ContractFilter& aFilter) const
{
  std::uint64_t digest = 0;
  if (const auto found = mServiceDigests.find(aFilter.mService);
      found != mServiceDigests.end()) {
    digest = found->second;
  }
  for (const CustomerId& customer : aFilter.mTaskCustomers) {
    if (const Contract* contract = Find(customer);
        contract != nullptr && contract->mService != aFilter.mService) {
      digest ^= DigestOf(*contract);
    }
  }
  return digest;
}

} // namespace foxtailbarrow
