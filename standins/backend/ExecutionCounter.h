#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace foxtailbarrow::standin {

/// Totals over all executions.
struct ExecutionCounts
{
  std::uint64_t mTotal = 0;
  std::uint64_t mDistinct = 0;           ///< Distinct request ids.
  std::uint64_t mRepeated = 0;           ///< Ids that ran more than once.
  std::vector<std::string> mRepeatedIds; ///< The first few of them.
};

/// Counts how often each request id ran. Safe for use by several threads.
class ExecutionCounter
{
public:
  void Add(std::string_view aRequestId);
  ExecutionCounts Counts() const;

  /// Number of runs by request id.
  std::map<std::string, std::uint32_t> Runs() const;

private:
  struct alignas(64) Shard
  {
    mutable std::mutex mMutex;
    absl::flat_hash_map<std::string, std::uint32_t> mRuns;
  };

  static constexpr std::size_t kShards = 32;

  std::array<Shard, kShards> mShards;
};

} // namespace foxtailbarrow::standin
