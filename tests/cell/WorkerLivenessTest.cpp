#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/core/cell/WorkerLiveness.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;

enum class Look : std::uint8_t
{
  Answered,
  NoAnswer,
  Refused,
};

struct LivenessStep
{
  int mAtMs;
  Look mLook;
  LivenessNews mNews;
};

struct LivenessCase
{
  const char* mName;
  std::vector<LivenessStep> mSteps;
  bool mAnswers;
  bool mEnded;
};

constexpr int kSilentMs = 1200;

class WorkerLivenessTest : public testing::TestWithParam<LivenessCase>
{};

TEST_P(WorkerLivenessTest, TellsEachChangeOnce)
{
  const Instant start{ std::chrono::seconds(1000) };
  WorkerLiveness liveness;
  liveness.Begin(start);
  for (const LivenessStep& step : GetParam().mSteps) {
    const Instant now = start + milliseconds(step.mAtMs);
    if (step.mLook == Look::Answered) {
      liveness.NoteLook(now);
    } else {
      EXPECT_EQ(liveness.NoteFailedLook(step.mLook == Look::Refused, now),
                step.mNews)
        << step.mAtMs;
    }
  }
  EXPECT_EQ(liveness.Answers(), GetParam().mAnswers);
  EXPECT_EQ(liveness.Ended(), GetParam().mEnded);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  WorkerLivenessTest,
  testing::Values(
    LivenessCase{ "OneRefusalIsNoEnd",
                  { { 100, Look::Refused, LivenessNews::None },
                    { 200, Look::NoAnswer, LivenessNews::None },
                    { 300, Look::Refused, LivenessNews::None } },
                  true,
                  false },
    LivenessCase{ "TwoRefusalsInARowAreTheEnd",
                  { { 100, Look::Refused, LivenessNews::None },
                    { 200, Look::Refused, LivenessNews::Ended },
                    { 300, Look::Refused, LivenessNews::None } },
                  false,
                  true },
    LivenessCase{ "SilentAfterAWhile",
                  { { kSilentMs, Look::NoAnswer, LivenessNews::None },
                    { kSilentMs + 1, Look::NoAnswer, LivenessNews::Silent },
                    { kSilentMs + 2, Look::NoAnswer, LivenessNews::None } },
                  false,
                  false },
    LivenessCase{ "ASilentOneMayEnd",
                  { { kSilentMs + 1, Look::Refused, LivenessNews::Silent },
                    { kSilentMs + 2, Look::Refused, LivenessNews::Ended } },
                  false,
                  true },
    LivenessCase{ "AnAnswerProvesLife",
                  { { 100, Look::Refused, LivenessNews::None },
                    { 200, Look::Refused, LivenessNews::Ended },
                    { 300, Look::Answered, LivenessNews::None },
                    { 400, Look::Refused, LivenessNews::None } },
                  true,
                  false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(WorkerLiveness, SaysWhetherItAnsweredBefore)
{
  const Instant start{ std::chrono::seconds(1000) };
  WorkerLiveness liveness;
  EXPECT_FALSE(liveness.Answers());
  liveness.Begin(start);
  EXPECT_TRUE(liveness.NoteLook(start));
  liveness.NoteFailedLook(false, start + milliseconds(kSilentMs + 1));
  EXPECT_FALSE(liveness.NoteLook(start + milliseconds(kSilentMs + 2)));
  EXPECT_EQ(liveness.AliveAt(), start + milliseconds(kSilentMs + 2));
}

} // namespace

} // namespace foxtailbarrow::cell::test
