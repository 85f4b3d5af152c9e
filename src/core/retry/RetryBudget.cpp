#include "src/core/retry/RetryBudget.h"

#include <algorithm>

namespace foxtailbarrow {

namespace {

constexpr double kMillitokens = 1000.0;
constexpr std::int64_t kOneToken = 1000;

/// Minimum time between two refills, which keeps the rounding error negligible.
constexpr Duration kRefillStep = std::chrono::milliseconds(10);

std::int64_t Millitokens(double aTokens)
{
  return static_cast<std::int64_t>(aTokens * kMillitokens);
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings aSettings, Instant aNow)
  : mSettings(aSettings)
  , mMaxSaved(Millitokens(aSettings.mMaxSaved))
  , mMillitokens(std::min(Millitokens(aSettings.mPerSecond), mMaxSaved))
  , mRefilledAt(aNow)
{
}

void RetryBudget::OnFirstAttempt()
{
  Add(Millitokens(mSettings.mRatio));
}

bool RetryBudget::TryTake(Instant aNow)
{
  Refill(aNow);
  std::int64_t tokens = mMillitokens.load(std::memory_order_relaxed);
  while (tokens >= kOneToken) {
    if (mMillitokens.compare_exchange_weak(
          tokens, tokens - kOneToken, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

void RetryBudget::Refill(Instant aNow)
{
  Instant last = mRefilledAt.load(std::memory_order_relaxed);
  if (aNow - last < kRefillStep || !mRefilledAt.compare_exchange_strong(
                                     last, aNow, std::memory_order_relaxed)) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - last).count();
  const double maxSaved = mSettings.mMaxSaved;
  Add(Millitokens(std::min(seconds * mSettings.mPerSecond, maxSaved)));
}

void RetryBudget::Add(std::int64_t aMillitokens)
{
  std::int64_t tokens = mMillitokens.load(std::memory_order_relaxed);
  while (tokens < mMaxSaved && !mMillitokens.compare_exchange_weak(
                                 tokens,
                                 std::min(tokens + aMillitokens, mMaxSaved),
                                 std::memory_order_relaxed)) {
  }
}

} // namespace foxtailbarrow
