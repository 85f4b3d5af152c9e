#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Lease granted by the store. Keys attached to it vanish when it lapses.
using StoreLease = std::int64_t;

/// One key as the store held it.
struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  Revision mModRevision = 0;
  StoreLease mLease = 0; ///< 0 = none.
  /// Revision of the whole store when it answered; 0 = not told. A watch from
  /// here needs no older history.
  Revision mStoreRevision = 0;
};

/// From where a watch brings all changes after this answer. The entry's own
/// revision may be older than the store's history.
inline Revision WatchStart(const StoreEntry& aEntry)
{
  return aEntry.mStoreRevision > aEntry.mModRevision ? aEntry.mStoreRevision
                                                     : aEntry.mModRevision;
}

/// All keys under a prefix, as of one revision of the store.
struct StoreListing
{
  std::vector<StoreEntry> mEntries;
  Revision mRevision = 0;
};

/// Condition of a transaction: the key's mod revision must equal this; 0 means
/// that the key must not exist.
struct StoreCompare
{
  std::string mKey;
  Revision mModRevision = 0;
};

/// Write of a transaction. No value means: delete the key.
struct StoreWrite
{
  std::string mKey;
  std::optional<std::string> mValue;
  StoreLease mLease = 0; ///< 0 = none.
};

/// Applied as a whole when every compare holds, else not at all. At most 128
/// compares and 128 writes.
struct StoreTransaction
{
  std::vector<StoreCompare> mCompares;
  std::vector<StoreWrite> mWrites;
};

struct StoreTransactionResult
{
  bool mApplied = false; ///< False when a compare failed.
  Revision mRevision = 0;
  /// Where a compare failed and the store tells: the compared keys that exist,
  /// as they are now.
  std::vector<StoreEntry> mCurrent{};
};

/// A change seen by a watch. No value means: the key was deleted.
struct StoreEvent
{
  std::string mKey;
  std::optional<std::string> mValue;
  Revision mModRevision = 0;
};

/// The platform's key-value service. Every method is one counted call, except
/// Watch(), which counts as one waiting call while it is open. Methods suspend
/// the calling fiber. An error carries a Verdict (VerdictOf()): NotRun when the
/// store certainly did not apply the call, MayHaveRun when the reply was lost.
class Store
{
public:
  virtual ~Store() = default;

  /// One key; NotFound when it does not exist.
  virtual absl::StatusOr<StoreEntry> Read(std::string_view aKey) = 0;

  /// Every key that starts with `aPrefix`, sorted by key.
  virtual absl::StatusOr<StoreListing> List(std::string_view aPrefix) = 0;

  virtual absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) = 0;

  virtual absl::StatusOr<StoreLease> GrantLease(Duration aTtl) = 0;

  /// Returns the renewed time to live; NotFound when the lease has lapsed.
  virtual absl::StatusOr<Duration> KeepAlive(StoreLease aLease) = 0;

  virtual absl::Status RevokeLease(StoreLease aLease) = 0;

  /// Calls `aOnEvents` for every change under `aPrefix` after `aFrom`, in
  /// revision order, until it returns false or the connection breaks; then
  /// returns the reason. It may be called without events, as a sign that the
  /// store was reached. The caller lists again and watches anew.
  virtual absl::Status Watch(
    std::string_view aPrefix,
    Revision aFrom,
    const std::function<bool(const std::vector<StoreEvent>&)>& aOnEvents) = 0;
};

} // namespace foxtailbarrow
