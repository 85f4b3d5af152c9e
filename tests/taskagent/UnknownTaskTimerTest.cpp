#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "apps/taskagent/UnknownTaskTimer.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::seconds;

struct UnknownTaskCase
{
  const char* mName;
  int mKnownAt; ///< The second of the only look without unknown tasks.
  std::vector<int> mAsked;
};

class UnknownTaskTimerTest : public testing::TestWithParam<UnknownTaskCase>
{};

TEST_P(UnknownTaskTimerTest, AsksAgainAfterGrowingPauses)
{
  UnknownTaskTimer timer;
  std::vector<int> asked;
  for (int second = 0; second <= 20; ++second) {
    if (timer.Update(second != GetParam().mKnownAt,
                     Instant(seconds(100 + second)))) {
      asked.push_back(second);
    }
  }
  EXPECT_EQ(asked, GetParam().mAsked);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  UnknownTaskTimerTest,
  testing::Values(UnknownTaskCase{ "NeverKnown", -1, { 1, 3, 7, 15 } },
                  UnknownTaskCase{ "KnownOnce", 8, { 1, 3, 7, 10, 12, 16 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::taskagent::test
