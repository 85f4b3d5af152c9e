#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/core/cell/LogRateLimiter.h"

namespace foxtailbarrow::cell::test {

namespace {

TEST(LogRateLimiter, TellsTheFirstAndThenEachPowerOfTen)
{
  LogRateLimiter findings;
  std::vector<std::int64_t> told;
  for (int found = 0; found < 1000; ++found) {
    if (const auto count = findings.Note("sender", "reason")) {
      told.push_back(*count);
    }
  }
  EXPECT_EQ(told, (std::vector<std::int64_t>{ 1, 10, 100, 1000 }));
  EXPECT_EQ(findings.Note("sender", "other reason"), 1);
  EXPECT_EQ(findings.Note("other", "reason"), 1);
}

TEST(LogRateLimiter, ManySendersAreBounded)
{
  LogRateLimiter findings;
  int told = 0;
  for (int sender = 0; sender < 100'000; ++sender) {
    told += findings.Note(std::to_string(sender), "reason") ? 1 : 0;
  }
  EXPECT_LT(told, 110);
}

} // namespace

} // namespace foxtailbarrow::cell::test
