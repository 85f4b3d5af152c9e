#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/core/cell/LogRateLimiter.h"

namespace foxtailbarrow::cell::test {

namespace {

TEST(LogRateLimiter, LogsTheFirstAndThenEachPowerOfTen)
{
  LogRateLimiter limiter;
  std::vector<std::int64_t> logged;
  for (int event = 0; event < 1000; ++event) {
    if (const auto count = limiter.OnEvent("sender", "reason")) {
      logged.push_back(*count);
    }
  }
  EXPECT_EQ(logged, (std::vector<std::int64_t>{ 1, 10, 100, 1000 }));
  EXPECT_EQ(limiter.OnEvent("sender", "other reason"), 1);
  EXPECT_EQ(limiter.OnEvent("other", "reason"), 1);
}

TEST(LogRateLimiter, ManySendersAreBounded)
{
  LogRateLimiter limiter;
  int logged = 0;
  for (int sender = 0; sender < 100'000; ++sender) {
    logged += limiter.OnEvent(std::to_string(sender), "reason") ? 1 : 0;
  }
  EXPECT_LT(logged, 110);
}

} // namespace

} // namespace foxtailbarrow::cell::test
