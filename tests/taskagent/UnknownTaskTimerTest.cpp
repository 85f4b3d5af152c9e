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
  int mKnownAt; ///< Second of the only poll without unknown tasks.
  std::vector<int> mRequested;
};

class UnknownTaskTimerTest : public testing::TestWithParam<UnknownTaskCase>
{};

TEST_P(UnknownTaskTimerTest, RequestsAgainAfterGrowingPauses)
{
  UnknownTaskTimer timer;
  std::vector<int> requested;
  for (int second = 0; second <= 20; ++second) {
    if (timer.Update(second != GetParam().mKnownAt,
                     Instant(seconds(100 + second)))) {
      requested.push_back(second);
    }
  }
  EXPECT_EQ(requested, GetParam().mRequested);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  UnknownTaskTimerTest,
  testing::Values(UnknownTaskCase{ "NeverKnown", -1, { 1, 3, 7, 15 } },
                  UnknownTaskCase{ "KnownOnce", 8, { 1, 3, 7, 10, 12, 16 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::taskagent::test
