#pragma once

#include <span>
#include <vector>

#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow {

/// Computes the entry that should hold each shard.
///
/// Rendezvous hashing with bounded load: a shard goes to the entry with the
/// highest score for it, or to the next one if that entry already has a quarter
/// more than an even share. The result depends only on the arguments, so
/// entries with the same roster agree without communication. Adding or removing
/// an entry moves only its shards and the few that the bound displaces.
///
/// @param aEntries sorted by id.
/// @return an index into `aEntries` per shard; empty when `aEntries` is empty.
std::vector<std::size_t> ShardTargets(std::span<const EntryId> aEntries,
                                      std::uint32_t aShards);

} // namespace foxtailbarrow
