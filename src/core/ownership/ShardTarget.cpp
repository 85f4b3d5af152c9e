#include "src/core/ownership/ShardTarget.h"

#include <algorithm>
#include <numeric>
#include <string_view>

namespace foxtailbarrow {

namespace {

/// FNV-1a with a final mix. Entries of different builds must compute the same
/// value, so the hash cannot come from a library.
std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed)
{
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ aSeed;
  for (const char letter : aText) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33U);
}

/// A quarter more than an even share, rounded up.
std::size_t MaxShards(std::size_t aEntries, std::size_t aShards)
{
  return (5 * aShards + 4 * aEntries - 1) / (4 * aEntries);
}

std::vector<std::size_t> ByScore(std::span<const EntryId> aEntries,
                                 ShardId aShard)
{
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  std::vector<std::uint64_t> scores;
  scores.reserve(aEntries.size());
  for (const EntryId& entry : aEntries) {
    scores.push_back(StableHash(entry.Value(), (aShard + 1) * kGoldenRatio));
  }
  std::vector<std::size_t> order(aEntries.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, [&scores](std::size_t aLeft, std::size_t aRight) {
    return scores[aLeft] > scores[aRight];
  });
  return order;
}

} // namespace

std::vector<std::size_t> ShardTargets(std::span<const EntryId> aEntries,
                                      std::uint32_t aShards)
{
  std::vector<std::size_t> targets;
  if (aEntries.empty()) {
    return targets;
  }
  const std::size_t maxShards = MaxShards(aEntries.size(), aShards);
  std::vector<std::size_t> held(aEntries.size(), 0);
  targets.reserve(aShards);
  for (ShardId shard = 0; shard < aShards; ++shard) {
    for (const std::size_t entry : ByScore(aEntries, shard)) {
      if (held[entry] < maxShards) {
        ++held[entry];
        targets.push_back(entry);
        break;
      }
    }
  }
  return targets;
}

} // namespace foxtailbarrow
