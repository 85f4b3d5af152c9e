#include "standins/backend/ExecutionCounter.h"

#include "absl/hash/hash.h"

namespace foxtailbarrow::standin {

namespace {

constexpr std::size_t kMaxListedIds = 20;

} // namespace

void ExecutionCounter::Add(std::string_view aRequestId)
{
  const std::string id(aRequestId);
  Shard& shard = mShards[(absl::HashOf(id) >> 40) % kShards];
  const std::lock_guard lock(shard.mMutex);
  ++shard.mRuns[id];
}

ExecutionCounts ExecutionCounter::Counts() const
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
      ++counts.mRepeated;
      if (counts.mRepeatedIds.size() < kMaxListedIds) {
        counts.mRepeatedIds.push_back(id);
      }
    }
  }
  return counts;
}

std::map<std::string, std::uint32_t> ExecutionCounter::Runs() const
{
  std::map<std::string, std::uint32_t> runs;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    runs.insert(shard.mRuns.begin(), shard.mRuns.end());
  }
  return runs;
}

} // namespace foxtailbarrow::standin
