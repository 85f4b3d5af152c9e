#pragma once

#include <span>
#include <vector>

#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// The entry that should hold each shard, by index of the shard.
///
/// Rendezvous hashing with a bound: a shard goes to the entry with the highest
/// score for it, unless that one has a quarter more than its even part already;
/// then to the next. Depends on nothing but the arguments, so that entries with
/// the same roster agree without a word. One entry more or less moves only the
/// shards of that entry and the few that the bound displaces.
///
/// @param aEntries sorted by id.
/// @return one index into `aEntries` a shard; empty when `aEntries` is.
std::vector<std::size_t> ShardTargets(std::span<const EntryId> aEntries,
                                      std::uint32_t aShards);

} // namespace foxtailbarrow
