#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct RetryBudgetSettings
{
  double mRatio = 0.1;      ///< Retries per first attempt.
  double mPerSecond = 10.0; ///< Retries per second that are always allowed.
  double mMaxSaved = 100.0; ///< Maximum number of accumulated retries.
};

/// Limits the retries of one entry to a share of its requests, so that retries
/// do not amplify an overload. Token bucket: each first attempt adds mRatio
/// tokens, each second adds mPerSecond, and each retry takes one. Thread-safe
/// and lock-free.
class RetryBudget
{
public:
  RetryBudget(RetryBudgetSettings aSettings, Instant aNow);

  /// Call for the first attempt of each request.
  void OnFirstAttempt();

  /// Takes one token; false when there is none.
  bool TryTake(Instant aNow);

private:
  void Refill(Instant aNow);
  void Add(std::int64_t aMillitokens);

  RetryBudgetSettings mSettings;
  std::int64_t mMaxSaved; ///< Millitokens.
  std::atomic<std::int64_t> mMillitokens;
  std::atomic<Instant> mRefilledAt;
};

} // namespace foxtailbarrow
