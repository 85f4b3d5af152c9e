#include <optional>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr int kNever = -1;

struct CrashRecordCase
{
  const char* mName;
  std::optional<int> mSavedMs; ///< When the crash is saved; empty = never.
  int mStartedMs;              ///< When the task starts again.
};

class CrashRecordTest
  : public CellFixture
  , public testing::WithParamInterface<CrashRecordCase>
{};

/// A start sent before the previous crash is saved: if all processes are lost
/// then, no later owner knows of either.
TEST_P(CrashRecordTest, TaskWaitsUntilItsFirstCrashIsSaved)
{
  constexpr int kRoundMs = 100;
  constexpr int kLastMs = 5000;
  AttachAndGrant("a");
  AttachAndGrant("b");
  AddSavedJob(Graph("job", { Step(1) }));
  OrderRequest first = Orders("a");
  std::string agent = "a";
  if (first.mStarts.empty()) {
    first = Orders("b");
    agent = "b";
  }
  Started(agent, first);
  ASSERT_EQ(first.mStarts.size(), 1U);
  AdvanceClock(milliseconds(kRoundMs));
  Report(agent, State("next-life"));
  int startedMs = kNever;
  for (int ms = 0; ms <= kLastMs && startedMs < 0; ms += kRoundMs) {
    Grant("a");
    Grant("b");
    if (ms == GetParam().mSavedMs) {
      SaveProgress();
    }
    Schedule();
    for (const char* name : { "a", "b" }) {
      if (!mScheduler.TakeOrders(AgentId(name)).mStarts.empty()) {
        startedMs = ms;
      }
    }
    AdvanceClock(milliseconds(kRoundMs));
  }
  EXPECT_EQ(startedMs, GetParam().mStartedMs);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CrashRecordTest,
  testing::Values(CrashRecordCase{ "AtOnce", 0, 0 },
                  CrashRecordCase{ "ASecondLate", 1000, 1000 },
                  CrashRecordCase{ "StoreSilent", std::nullopt, kNever }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
