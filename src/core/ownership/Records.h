#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Store.h"

/// Records of shard ownership in the store, as JSON texts.
namespace foxtailbarrow {

/// A live entry. Key: `/foxtailbarrow/entries/<id>`, attached to the store
/// lease of the entry, so that it vanishes with it.
struct EntryRecord
{
  EntryId mEntry;
  Incarnation mIncarnation = 0;
  Endpoint mEndpoint;
  StoreLease mTenure = 0; ///< The lease that it is attached to.

  bool operator==(const EntryRecord&) const = default;
};

/// Who holds a shard. Key: `/foxtailbarrow/shards/<n>`, attached to no lease:
/// the holder is live while its EntryRecord names the same tenure. Its mod
/// revision is the generation; it changes only when the holder does.
struct ShardRecord
{
  EntryId mOwner;         ///< Empty: released by the last holder.
  StoreLease mTenure = 0; ///< Tenure of the owner under which it was taken.
  std::string mToken;     ///< Unique to one attempt to write the record.

  /// Earlier tenures that nobody had shown to be over when this was written.
  std::vector<StoreLease> mPredecessors;

  bool operator==(const ShardRecord&) const = default;
};

/// An entry that attests and promises a tenure, with its address, since it may
/// be asked when the store does not list it.
struct Voter
{
  EntryId mEntry;
  Endpoint mEndpoint;

  bool operator==(const Voter&) const = default;
};

/// Sorted by id, each entry once.
using Voters = std::vector<Voter>;

/// One unbroken membership of an entry under one store lease. Key:
/// `/foxtailbarrow/tenures/<lease>`, attached to no lease. While it exists,
/// task leases granted under the tenure may still run.
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

/// nullopt for a text that is no such record.
std::optional<EntryRecord> DecodeEntryRecord(std::string_view aText);
std::optional<ShardRecord> DecodeShardRecord(std::string_view aText);
std::optional<TenureRecord> DecodeTenureRecord(std::string_view aText);

} // namespace foxtailbarrow
