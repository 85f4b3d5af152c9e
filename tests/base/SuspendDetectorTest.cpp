#include <vector>

#include <gtest/gtest.h>

#include "src/core/base/SuspendDetector.h"

namespace foxtailbarrow::test {

namespace {

using std::chrono::milliseconds;

/// How far each clock advanced before a poll.
struct Step
{
  milliseconds mBoot;
  milliseconds mSteady;
};

struct SuspendCase
{
  const char* mName;
  std::vector<Step> mSteps;
  std::vector<milliseconds> mSuspended; ///< Expected results.
};

class SuspendDetectorTest : public testing::TestWithParam<SuspendCase>
{};

TEST_P(SuspendDetectorTest, DetectsEachSuspensionOnce)
{
  Instant now{ std::chrono::seconds(1000) };
  SuspendDetector::SteadyTime steady{ std::chrono::seconds(7) };
  SuspendDetector detector;
  EXPECT_FALSE(detector.Poll(now, steady));
  std::vector<milliseconds> detected;
  for (const Step& step : GetParam().mSteps) {
    now += step.mBoot;
    steady += step.mSteady;
    if (const auto suspended = detector.Poll(now, steady)) {
      detected.push_back(std::chrono::duration_cast<milliseconds>(*suspended));
    }
  }
  EXPECT_EQ(detected, GetParam().mSuspended);
}

constexpr milliseconds kTick(100);

INSTANTIATE_TEST_SUITE_P(
  Table,
  SuspendDetectorTest,
  testing::Values(
    SuspendCase{ "Awake", { { kTick, kTick }, { kTick, kTick } }, {} },
    SuspendCase{ "Frozen", { { milliseconds(9000), milliseconds(9000) } }, {} },
    SuspendCase{
      "Suspended",
      { { kTick, kTick }, { milliseconds(5100), kTick }, { kTick, kTick } },
      { milliseconds(5000) } },
    SuspendCase{ "Twice",
                 { { milliseconds(600), kTick },
                   { kTick, kTick },
                   { milliseconds(700), milliseconds(0) } },
                 { milliseconds(500), milliseconds(700) } },
    SuspendCase{ "Briefly", { { milliseconds(599), kTick } }, {} },
    // The process was preempted between the readings of the two clocks.
    SuspendCase{ "Preempted",
                 { { kTick, milliseconds(400) }, { milliseconds(400), kTick } },
                 {} }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::test
