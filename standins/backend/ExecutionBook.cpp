#include "standins/backend/ExecutionBook.h"

#include "absl/hash/hash.h"

namespace foxtailbarrow::standin {

namespace {

constexpr std::size_t kMaxIdsShown = 20;

} // namespace

void ExecutionBook::Add(std::string_view aRequestId)
{
  const std::string id(aRequestId);
  Shard& shard = mShards[(absl::HashOf(id) >> 40) % kShards];
  const std::lock_guard lock(shard.mMutex);
  ++shard.mRuns[id];
}

ExecutionCounts ExecutionBook::Counts() const
{
  ExecutionCounts counts;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    counts.mDistinct += shard.mRuns.size();
    for (const auto& [id, runs] : shard.mRuns) {
      counts.mTotal += runs;
      if (runs < 2) {
        continue;
      }
      ++counts.mDoubled;
      if (counts.mDoubledIds.size() < kMaxIdsShown) {
        counts.mDoubledIds.push_back(id);
      }
    }
  }
  return counts;
}

} // namespace foxtailbarrow::standin
