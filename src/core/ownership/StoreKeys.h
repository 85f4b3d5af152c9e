#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Store.h"

namespace foxtailbarrow {

inline constexpr std::string_view kEntriesPrefix = "/foxtailbarrow/entries/";
inline constexpr std::string_view kShardsPrefix = "/foxtailbarrow/shards/";
inline constexpr std::string_view kTenuresPrefix = "/foxtailbarrow/tenures/";

std::string EntryKey(const EntryId& aEntry);
std::string ShardKey(ShardId aShard);
std::string TenureKey(StoreLease aTenure);

/// Inverse of ShardKey(); nullopt for any other key.
std::optional<ShardId> ParseShardKey(std::string_view aKey);

/// Inverse of TenureKey(); nullopt for any other key.
std::optional<StoreLease> ParseTenureKey(std::string_view aKey);

} // namespace foxtailbarrow
