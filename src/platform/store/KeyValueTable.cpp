#include "src/platform/store/KeyValueTable.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

namespace foxtailbarrow {

namespace {

absl::Status LeaseNotFound(StoreLease aLease)
{
  return absl::NotFoundError(absl::StrCat("lease ", aLease, " not found"));
}

absl::Status CheckWrite(const StoreWrite& aWrite, const KeyValueLimits& aLimits)
{
  if (aWrite.mKey.empty()) {
    return absl::InvalidArgumentError("key is empty");
  }
  if (aWrite.mValue && aWrite.mValue->size() > aLimits.mMaxValueBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat("value of ",
                   aWrite.mValue->size(),
                   " bytes is over the limit of ",
                   aLimits.mMaxValueBytes));
  }
  return absl::OkStatus();
}

std::size_t Bytes(const StoreWrite& aWrite)
{
  return aWrite.mKey.size() + (aWrite.mValue ? aWrite.mValue->size() : 0);
}

} // namespace

KeyValueTable::KeyValueTable(KeyValueLimits aLimits)
  : mLimits(aLimits)
{
}

absl::StatusOr<StoreTransactionResult> KeyValueTable::Commit(
  const StoreTransaction& aTransaction)
{
  if (absl::Status status = Check(aTransaction); !status.ok()) {
    return status;
  }
  const bool satisfied = std::all_of(
    aTransaction.mCompares.begin(),
    aTransaction.mCompares.end(),
    [this](const StoreCompare& aCompare) { return IsSatisfied(aCompare); });
  if (!satisfied) {
    return StoreTransactionResult{ false, mRevision };
  }
  if (absl::Status status = CheckLeases(aTransaction); !status.ok()) {
    return status;
  }
  const Revision revision = mRevision + 1;
  for (const StoreWrite& write : aTransaction.mWrites) {
    if (write.mValue) {
      Put(write, revision);
    } else {
      Delete(write.mKey, revision);
    }
  }
  return StoreTransactionResult{ true, mRevision };
}

absl::Status KeyValueTable::Check(const StoreTransaction& aTransaction) const
{
  if (aTransaction.mCompares.size() > kMaxTransactionOperations ||
      aTransaction.mWrites.size() > kMaxTransactionOperations) {
    return absl::InvalidArgumentError("too many operations in a transaction");
  }
  std::set<std::string_view> keys;
  std::size_t bytes = 0;
  for (const StoreWrite& write : aTransaction.mWrites) {
    if (absl::Status status = CheckWrite(write, mLimits); !status.ok()) {
      return status;
    }
    if (!keys.insert(write.mKey).second) {
      return absl::InvalidArgumentError("duplicate key in a transaction");
    }
    bytes += Bytes(write);
  }
  if (bytes > mLimits.mMaxTransactionBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat("transaction of ", bytes, " bytes is over the limit"));
  }
  return absl::OkStatus();
}

absl::Status KeyValueTable::CheckLeases(
  const StoreTransaction& aTransaction) const
{
  for (const StoreWrite& write : aTransaction.mWrites) {
    if (write.mValue && write.mLease != 0 && !mLeases.contains(write.mLease)) {
      return LeaseNotFound(write.mLease);
    }
  }
  return absl::OkStatus();
}

bool KeyValueTable::IsSatisfied(const StoreCompare& aCompare) const
{
  const auto found = mEntries.find(aCompare.mKey);
  const Revision current =
    found == mEntries.end() ? 0 : found->second->mModRevision;
  return current == aCompare.mModRevision;
}

absl::StatusOr<KeyValuePage> KeyValueTable::Range(const KeyRange& aRange,
                                                  std::size_t aLimit,
                                                  Revision aAt) const
{
  if (aAt > mRevision) {
    return absl::OutOfRangeError("required revision is a future revision");
  }
  if (aAt != 0 && !IsInHistory(aAt)) {
    return absl::OutOfRangeError("required revision has been compacted");
  }
  KeyValuePage page;
  page.mRevision = mRevision;
  const bool latest = aAt == 0 || aAt == mRevision;
  const Entries past = latest ? Entries() : EntriesAt(aRange, aAt);
  const Entries& source = latest ? mEntries : past;
  for (auto entry = source.lower_bound(aRange.mBegin);
       entry != source.end() && aRange.Contains(entry->first);
       ++entry) {
    if (aLimit != 0 && page.mEntries.size() == aLimit) {
      page.mMore = true;
      break;
    }
    page.mEntries.push_back(*entry->second);
  }
  return page;
}

KeyValueTable::Entries KeyValueTable::LatestEntries(
  const KeyRange& aRange) const
{
  const auto begin = mEntries.lower_bound(aRange.mBegin);
  const auto end =
    aRange.mEnd ? mEntries.lower_bound(*aRange.mEnd) : mEntries.end();
  return { begin, end };
}

KeyValueTable::Entries KeyValueTable::EntriesAt(const KeyRange& aRange,
                                                Revision aAt) const
{
  Entries entries = LatestEntries(aRange);
  for (auto change = mHistory.rbegin();
       change != mHistory.rend() && change->mRevision > aAt;
       ++change) {
    if (!aRange.Contains(change->mKey)) {
      continue;
    }
    if (change->mBefore) {
      entries[change->mKey] = change->mBefore;
    } else {
      entries.erase(change->mKey);
    }
  }
  return entries;
}

absl::StatusOr<StoreLease> KeyValueTable::GrantLease(Duration aTtl,
                                                     Instant aNow)
{
  if (aTtl <= Duration::zero()) {
    return absl::InvalidArgumentError("time to live must be positive");
  }
  ++mLastLease;
  mLeases[mLastLease] = LeaseRecord{ aTtl, aNow + aTtl, {} };
  return mLastLease;
}

absl::StatusOr<Duration> KeyValueTable::KeepAlive(StoreLease aLease,
                                                  Instant aNow)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return LeaseNotFound(aLease);
  }
  found->second.mExpiry = aNow + found->second.mTtl;
  return found->second.mTtl;
}

absl::Status KeyValueTable::RevokeLease(StoreLease aLease)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return LeaseNotFound(aLease);
  }
  const std::set<std::string> keys = std::move(found->second.mKeys);
  mLeases.erase(found);
  const Revision revision = mRevision + 1;
  for (const std::string& key : keys) {
    Delete(key, revision);
  }
  return absl::OkStatus();
}

void KeyValueTable::Expire(Instant aNow)
{
  std::vector<StoreLease> expired;
  for (const auto& [lease, record] : mLeases) {
    if (record.mExpiry <= aNow) {
      expired.push_back(lease);
    }
  }
  for (const StoreLease lease : expired) {
    RevokeLease(lease).IgnoreError();
  }
}

absl::StatusOr<std::vector<StoreEvent>> KeyValueTable::EventsAfter(
  const KeyRange& aRange,
  Revision aFrom) const
{
  if (!IsInHistory(aFrom)) {
    return absl::OutOfRangeError("required revision has been compacted");
  }
  std::vector<StoreEvent> events;
  for (auto change = FirstChangeAfter(aFrom); change != mHistory.end();
       ++change) {
    if (!aRange.Contains(change->mKey)) {
      continue;
    }
    StoreEvent event{ change->mKey, std::nullopt, change->mRevision };
    if (change->mAfter) {
      event.mValue = change->mAfter->mValue;
    }
    events.push_back(std::move(event));
  }
  return events;
}

std::deque<KeyValueTable::Change>::const_iterator
KeyValueTable::FirstChangeAfter(Revision aFrom) const
{
  return std::upper_bound(mHistory.begin(),
                          mHistory.end(),
                          aFrom,
                          [](Revision aLeft, const Change& aRight) {
                            return aLeft < aRight.mRevision;
                          });
}

void KeyValueTable::Put(const StoreWrite& aWrite, Revision aRevision)
{
  EntryPointer& entry = mEntries[aWrite.mKey];
  EntryPointer before = entry;
  if (before) {
    DetachFromLease(*before);
  }
  entry = std::make_shared<StoreEntry>(
    StoreEntry{ aWrite.mKey, *aWrite.mValue, aRevision, aWrite.mLease });
  if (aWrite.mLease != 0) {
    mLeases[aWrite.mLease].mKeys.insert(aWrite.mKey);
  }
  Record({ aRevision, aWrite.mKey, std::move(before), entry });
}

void KeyValueTable::Delete(const std::string& aKey, Revision aRevision)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return;
  }
  EntryPointer before = found->second;
  DetachFromLease(*before);
  mEntries.erase(found);
  Record({ aRevision, aKey, std::move(before), nullptr });
}

void KeyValueTable::DetachFromLease(const StoreEntry& aEntry)
{
  if (const auto lease = mLeases.find(aEntry.mLease); lease != mLeases.end()) {
    lease->second.mKeys.erase(aEntry.mKey);
  }
}

void KeyValueTable::Record(Change aChange)
{
  mRevision = aChange.mRevision;
  mHistory.push_back(std::move(aChange));
  while (mHistory.size() > mLimits.mHistoryChanges) {
    mCompactedRevision = mHistory.front().mRevision;
    mHistory.pop_front();
  }
}

} // namespace foxtailbarrow
