#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Lease granted by the store. Keys attached to it are deleted when it expires.
using StoreLease = std::int64_t;

/// A key with its value and revision.
struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  Revision mModRevision = 0;
  StoreLease mLease = 0; ///< 0 = none.
  /// Revision of the whole store at the time of the reply; 0 = unknown. A watch
  /// from here needs no older history.
  Revision mStoreRevision = 0;
};

/// Revision from which a watch reports all changes after this reply. The
/// entry's own revision may be older than the history that the store keeps.
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

/// Condition of a transaction: the key's mod revision must be equal; 0 = the
/// key must not exist.
struct StoreCompare
{
  std::string mKey;
  Revision mModRevision = 0;
};

/// Write of a transaction. No value = delete the key.
struct StoreWrite
{
  std::string mKey;
  std::optional<std::string> mValue;
  StoreLease mLease = 0; ///< 0 = none.
};

/// Applied atomically if every compare holds, else not at all. At most 128
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
  /// If a compare failed and the store reports it: the current state of the
  /// compared keys that exist.
  std::vector<StoreEntry> mCurrent{};
};

/// A change reported by a watch. No value = the key was deleted.
struct StoreEvent
{
  std::string mKey;
  std::optional<std::string> mValue;
  Revision mModRevision = 0;
};

/// Interface to the platform's key-value store. Every method counts as one
/// call, except Watch(), which counts as one open call until it returns.
/// Methods suspend the calling fiber. Errors carry a Verdict (VerdictOf()):
/// NotRun if the store certainly did not apply the call, MayHaveRun if the
/// reply was lost.
class Store
{
public:
  virtual ~Store() = default;

  /// Reads a key; NotFound if it does not exist.
  virtual absl::StatusOr<StoreEntry> Read(std::string_view aKey) = 0;

  /// Reads a key as of some earlier moment, up to several seconds ago. Costs
  /// the store a fraction of Read(). Stores without such reads return the
  /// newest.
  virtual absl::StatusOr<StoreEntry> ReadSerializable(std::string_view aKey)
  {
    return Read(aKey);
  }

  /// Lists every key with the prefix `aPrefix`, sorted by key.
  virtual absl::StatusOr<StoreListing> List(std::string_view aPrefix) = 0;

  /// As List(), but calls `aOnEntry` for each entry as it is read, so that not
  /// all of them are in memory at a time. Returns the listing's revision. After
  /// an error some entries may have been passed on.
  virtual absl::StatusOr<Revision> ListEach(
    std::string_view aPrefix,
    const std::function<void(StoreEntry)>& aOnEntry)
  {
    absl::StatusOr<StoreListing> listing = List(aPrefix);
    if (!listing.ok()) {
      return listing.status();
    }
    for (StoreEntry& entry : listing->mEntries) {
      aOnEntry(std::move(entry));
    }
    return listing->mRevision;
  }

  virtual absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) = 0;

  virtual absl::StatusOr<StoreLease> GrantLease(Duration aTtl) = 0;

  /// Returns the renewed time to live; NotFound if the lease has expired.
  virtual absl::StatusOr<Duration> KeepAlive(StoreLease aLease) = 0;

  virtual absl::Status RevokeLease(StoreLease aLease) = 0;

  /// Calls `aOnEvents` for every change under `aPrefix` after `aFrom`, in
  /// revision order, until it returns false or the connection breaks; then
  /// returns the reason. A call without events means that the store is
  /// reachable. After a return the caller must list and watch again.
  virtual absl::Status Watch(
    std::string_view aPrefix,
    Revision aFrom,
    const std::function<bool(const std::vector<StoreEvent>&)>& aOnEvents) = 0;
};

} // namespace foxtailbarrow
