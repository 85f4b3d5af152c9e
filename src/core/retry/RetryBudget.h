#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct RetryBudgetSettings
{
  double mRatio = 0.1;      ///< Retries per first attempt.
  double mPerSecond = 10.0; ///< Retries that are always allowed.
  double mMaxSaved = 100.0; ///< Retries that can be saved up.
};

/// Bounds the retries of one entry to a share of its requests, so that retries
/// do not multiply an overload. A store of tokens: each first attempt adds the
/// ratio, each second the minimum, each retry takes one. Callable from any
/// thread; never blocks.
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
