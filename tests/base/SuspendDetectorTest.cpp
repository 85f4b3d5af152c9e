#include <vector>

#include <gtest/gtest.h>

#include "src/core/base/SuspendDetector.h"

namespace foxtailbarrow::test {

namespace {

using std::chrono::milliseconds;

/// Looks one after the other: how far each clock went on.
struct Step
{
  milliseconds mBoot;
  milliseconds mSteady;
};

struct SuspendCase
{
  const char* mName;
  std::vector<Step> mSteps;
  std::vector<milliseconds> mSuspended; ///< Found.
};

class SuspendDetectorTest : public testing::TestWithParam<SuspendCase>
{};

TEST_P(SuspendDetectorTest, FindsEachSuspensionOnce)
{
  Instant now{ std::chrono::seconds(1000) };
  SuspendDetector::SteadyTime steady{ std::chrono::seconds(7) };
  SuspendDetector watch;
  EXPECT_FALSE(watch.Poll(now, steady));
  std::vector<milliseconds> found;
  for (const Step& step : GetParam().mSteps) {
    now += step.mBoot;
    steady += step.mSteady;
    if (const auto suspended = watch.Poll(now, steady)) {
      found.push_back(std::chrono::duration_cast<milliseconds>(*suspended));
    }
  }
  EXPECT_EQ(found, GetParam().mSuspended);
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
    // Between the readings of the two clocks the process did not run.
    SuspendCase{ "HeldUp",
                 { { kTick, milliseconds(400) }, { milliseconds(400), kTick } },
                 {} }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::test
