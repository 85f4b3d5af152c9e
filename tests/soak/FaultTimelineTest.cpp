#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "soak/FaultTimeline.h"

namespace foxtailbarrow::soak::test {

namespace {

using std::chrono::seconds;

const Instant kStart{ seconds(1000) };

Fault At(int aSecond, FaultKind aKind, std::uint32_t aTarget, int aSeconds)
{
  return { seconds(aSecond), aKind, aTarget, 0, seconds(aSeconds) };
}

struct FaultTimesCase
{
  const char* mName;
  std::vector<Fault> mPlan;
  int mOverSince; ///< Second of the plan.
  bool mProtected;
};

class FaultTimelineTest : public testing::TestWithParam<FaultTimesCase>
{};

/// Of the task on worker 1 of 5.
TEST_P(FaultTimelineTest, ExcusesWhatAFaultMayHaveCaused)
{
  const FaultTimeline times(GetParam().mPlan, kStart, 5);
  EXPECT_EQ(
    times.IsProtected("worker1-3", kStart + seconds(GetParam().mOverSince)),
    GetParam().mProtected);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  FaultTimelineTest,
  testing::Values(FaultTimesCase{ "NoFault", {}, 5, true },
                  FaultTimesCase{ "Paused",
                                  { At(4, FaultKind::PauseAgent, 6, 1) },
                                  8,
                                  false },
                  FaultTimesCase{ "PausedDuring",
                                  { At(11, FaultKind::PauseAgent, 1, 1) },
                                  8,
                                  false },
                  FaultTimesCase{ "PausedBefore",
                                  { At(2, FaultKind::PauseAgent, 1, 1) },
                                  9,
                                  true },
                  FaultTimesCase{ "AnotherAgent",
                                  { At(7, FaultKind::PauseAgent, 2, 1) },
                                  8,
                                  true },
                  FaultTimesCase{ "TheStore",
                                  { At(7, FaultKind::StoreSilent, 1, 4) },
                                  8,
                                  true },
                  FaultTimesCase{ "RestartedLongAgo",
                                  { At(2, FaultKind::KillAgent, 1, 1) },
                                  12,
                                  true },
                  FaultTimesCase{ "RestartedAndNotTold",
                                  { At(2, FaultKind::KillAgent, 1, 1),
                                    At(5, FaultKind::KillScheduler, 0, 2),
                                    At(9, FaultKind::StoreSilent, 0, 4) },
                                  16,
                                  false },
                  FaultTimesCase{ "RestartedAndToldInBetween",
                                  { At(2, FaultKind::KillAll, 0, 1),
                                    At(11, FaultKind::StoreSilent, 0, 4) },
                                  12,
                                  true }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::soak::test
