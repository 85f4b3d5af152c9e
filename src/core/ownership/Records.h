#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Store.h"

/// Store records of shard ownership and their JSON encoding.
namespace foxtailbarrow {

/// A live entry. Key: `/foxtailbarrow/entries/<id>`, attached to the entry's
/// store lease, so the store deletes it when the lease expires.
struct EntryRecord
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  Endpoint mEndpoint;
  StoreLease mTenure = 0; ///< The store lease that the key is attached to.

  bool operator==(const EntryRecord&) const = default;
};

/// The holder of a shard. Key: `/foxtailbarrow/shards/<n>`, not attached to a
/// lease: the holder is live while its EntryRecord has the same tenure. The
/// record's mod revision is the generation; it changes only with the holder.
struct ShardRecord
{
  EntryId mOwner;         ///< Empty: released by the last holder.
  StoreLease mTenure = 0; ///< The owner's tenure when it took the shard.
  std::string mToken;     ///< Unique to one attempt to write the record.

  /// Earlier tenures that were not known to be closed at the time of writing.
  std::vector<StoreLease> mPredecessors;

  bool operator==(const ShardRecord&) const = default;
};

/// An entry that attests and promises for a tenure. The endpoint is stored
/// because requests may be sent when the store does not list the entry.
struct Voter
{
  EntryId mEntry;
  Endpoint mEndpoint;

  bool operator==(const Voter&) const = default;
};

/// Sorted by id, each entry once.
using Voters = std::vector<Voter>;

/// An uninterrupted membership of an entry under one store lease. Key:
/// `/foxtailbarrow/tenures/<lease>`, not attached to a lease. While the record
/// exists, task leases granted under the tenure may still be valid.
struct TenureRecord
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  Voters mVoters; ///< Includes the entry itself.

  bool operator==(const TenureRecord&) const = default;
};

std::string Encode(const EntryRecord& aRecord);
std::string Encode(const ShardRecord& aRecord);
std::string Encode(const TenureRecord& aRecord);

/// nullopt when the text is not a valid record of that type.
std::optional<EntryRecord> DecodeEntryRecord(std::string_view aText);
std::optional<ShardRecord> DecodeShardRecord(std::string_view aText);
std::optional<TenureRecord> DecodeTenureRecord(std::string_view aText);

} // namespace foxtailbarrow
