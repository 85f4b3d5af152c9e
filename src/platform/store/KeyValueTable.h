#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "foxtailbarrow/Time.h"
#include "src/platform/store/KeyRange.h"

namespace foxtailbarrow {

/// Maximum number of compares, and of writes, per transaction.
inline constexpr std::size_t kMaxTransactionOperations = 128;

inline constexpr std::size_t kKibibyte = 1024;

struct KeyValueLimits
{
  std::size_t mMaxValueBytes = 1024 * kKibibyte;
  /// Keys and values of one transaction together.
  std::size_t mMaxTransactionBytes = 1536 * kKibibyte;
  /// Changes kept for watches and for reads at an earlier revision.
  std::size_t mHistoryChanges = 100'000;
};

/// Part of the keys in a range, as of one revision.
struct KeyValuePage
{
  std::vector<StoreEntry> mEntries; ///< Sorted by key.
  bool mMore = false;               ///< Further keys follow in the range.
  Revision mRevision = 0;           ///< Latest revision of the table.
};

/// Keys and values with revisions, transactions, leases and a history of
/// changes, with the semantics of etcd v3. Pure: no I/O, no clock; the time is
/// passed in. Not synchronised. Errors carry no verdict: a refused call changes
/// nothing.
class KeyValueTable
{
public:
  explicit KeyValueTable(KeyValueLimits aLimits = {});

  /// InvalidArgument for an empty or repeated key or for a transaction over a
  /// limit; NotFound for a write under a lease that does not exist.
  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction);

  /// At most `aLimit` keys (0 = no limit), as of revision `aAt` (0 = latest).
  /// OutOfRange when that revision is in the future or no longer in history.
  absl::StatusOr<KeyValuePage> Range(const KeyRange& aRange,
                                     std::size_t aLimit,
                                     Revision aAt) const;

  absl::StatusOr<StoreLease> GrantLease(Duration aTtl, Instant aNow);

  /// Returns the time to live; NotFound when the lease does not exist.
  absl::StatusOr<Duration> KeepAlive(StoreLease aLease, Instant aNow);

  /// Deletes the lease's keys; NotFound when the lease does not exist.
  absl::Status RevokeLease(StoreLease aLease);

  /// Revokes every lease that has expired by `aNow`.
  void Expire(Instant aNow);

  /// Changes after revision `aFrom`, in revision order. OutOfRange when some of
  /// them are no longer in history.
  absl::StatusOr<std::vector<StoreEvent>> EventsAfter(const KeyRange& aRange,
                                                      Revision aFrom) const;

  Revision LatestRevision() const { return mRevision; }

private:
  using EntryPointer = std::shared_ptr<const StoreEntry>;
  using Entries = std::map<std::string, EntryPointer, std::less<>>;

  struct Change
  {
    Revision mRevision = 0;
    std::string mKey;
    EntryPointer mBefore; ///< Null: the key did not exist.
    EntryPointer mAfter;  ///< Null: the key was deleted.
  };

  struct LeaseRecord
  {
    Duration mTtl{};
    Instant mExpiry;
    std::set<std::string> mKeys;
  };

  absl::Status Check(const StoreTransaction& aTransaction) const;
  absl::Status CheckLeases(const StoreTransaction& aTransaction) const;
  bool IsSatisfied(const StoreCompare& aCompare) const;
  Entries EntriesAt(const KeyRange& aRange, Revision aAt) const;
  Entries LatestEntries(const KeyRange& aRange) const;
  std::deque<Change>::const_iterator FirstChangeAfter(Revision aFrom) const;
  bool IsInHistory(Revision aFrom) const { return aFrom >= mCompactedRevision; }

  void Put(const StoreWrite& aWrite, Revision aRevision);
  void Delete(const std::string& aKey, Revision aRevision);
  void DetachFromLease(const StoreEntry& aEntry);
  void Record(Change aChange);

  KeyValueLimits mLimits;
  Revision mRevision = 1;
  /// The history holds every change after this revision.
  Revision mCompactedRevision = 0;
  StoreLease mLastLease = 0;
  Entries mEntries;
  std::map<StoreLease, LeaseRecord> mLeases;
  std::deque<Change> mHistory;
};

} // namespace foxtailbarrow
