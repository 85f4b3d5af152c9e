#include <optional>
#include <string>

#include "tests/cell/CrashFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

using Runs = CrashHistory::Runs;

/// A task with these crashes is inherited from an earlier owner.
struct SuspectStartCase
{
  const char* mName;
  Runs mCrashes;
  bool mGang;
};

class SuspectStartTest
  : public CrashFixture
  , public testing::WithParamInterface<SuspectStartCase>
{
protected:
  static constexpr int kRounds = 100;
  static constexpr Duration kRoundTime = milliseconds(100);

  void Inherit(const Runs& aCrashes, bool aGang)
  {
    StoredProgress progress;
    progress.mSteps.push_back({ 0, 0, "", {}, {}, { Stored(0, aCrashes) } });
    StepSpec step = Step(aGang ? 2 : 1);
    step.mGang = aGang;
    AddInherited(Graph("job", { step }), progress);
  }

  /// Runs placement rounds; returns the first orders with starts, if any.
  std::optional<OrderRequest> FirstStarts(bool aSave)
  {
    for (int round = 0; round < kRounds; ++round) {
      Grant("a");
      mScheduler.Schedule(Clock());
      if (OrderRequest orders = mScheduler.TakeOrders(AgentId("a"));
          !orders.mStarts.empty()) {
        return orders;
      }
      if (aSave) {
        SaveProgress();
      }
      AdvanceClock(kRoundTime);
    }
    return std::nullopt;
  }
};

/// A start that is sent before it is saved is known to its owner and its agent
/// alone: if both are lost with the worker, nothing counts its crash.
TEST_P(SuspectStartTest, IsNotSentBeforeItIsSaved)
{
  AttachAndGrant("a");
  Inherit(GetParam().mCrashes, GetParam().mGang);
  EXPECT_EQ(FirstStarts(false), std::nullopt);
  EXPECT_NE(FirstStarts(true), std::nullopt);
}

/// The store accepts no write from the start on until all processes are lost.
TEST_P(SuspectStartTest, CountsAsACrashAfterPowerLoss)
{
  AttachAndGrant("a");
  Inherit(GetParam().mCrashes, GetParam().mGang);
  StoredProgress saved = ProgressOf(mScheduler.Jobs().at(kFirst.mJob));
  for (int round = 0; round < kRounds; ++round) {
    Grant("a");
    mScheduler.Schedule(Clock());
    if (!mScheduler.TakeOrders(AgentId("a")).mStarts.empty()) {
      break;
    }
    SaveProgress();
    saved = ProgressOf(mScheduler.Jobs().at(kFirst.mJob));
    AdvanceClock(kRoundTime);
  }
  TakeOverAfterPowerLoss(saved);
  EXPECT_EQ(Crashes(kFirst).Count(), GetParam().mCrashes.Count() + 1);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  SuspectStartTest,
  testing::Values(
    SuspectStartCase{ "OneLikelyCrash", { .mLikely = { 1 } }, false },
    SuspectStartCase{ "OneAsSoleCause", { .mSole = { 1 } }, false },
    SuspectStartCase{ "TwoUnconfirmed", { .mUnconfirmed = { 1, 2 } }, false },
    SuspectStartCase{ "OneNextToLikelierCauses",
                      { .mPossible = { 1 } },
                      false },
    SuspectStartCase{ "InAGang", { .mLikely = { 1 } }, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

class SuspectStarts : public CrashFixture
{};

/// The store accepts writes only until the task is started, and all processes
/// are lost with the worker. The task was started without limit, since every
/// start of a suspect was forgotten.
TEST_F(SuspectStarts, ATaskIsGivenUpAlthoughNoSaveFollowsItsStarts)
{
  constexpr int kMaxStarts = 5;
  constexpr int kOwners = 12;
  constexpr int kRounds = 40;
  AttachAndGrant("a");
  StoredProgress saved;
  saved.mSteps.push_back(
    { 0, 0, "", {}, {}, { Stored(0, { .mPossible = { 1 } }) } });
  AddInherited(Graph("job", { Step(1) }), saved);
  int starts = 1;
  for (int owner = 0; owner < kOwners; ++owner) {
    for (int round = 0; round < kRounds; ++round) {
      Grant("a");
      mScheduler.Schedule(Clock());
      if (!mScheduler.TakeOrders(AgentId("a")).mStarts.empty()) {
        ++starts;
        break;
      }
      SaveProgress();
      saved = ProgressOf(mScheduler.Jobs().at(kFirst.mJob));
      AdvanceClock(milliseconds(100));
    }
    TakeOverAfterPowerLoss(saved);
  }
  EXPECT_LE(starts, kMaxStarts);
  EXPECT_EQ(mScheduler.Jobs().at(kFirst.mJob).mPhase, JobPhase::Failed);
}

} // namespace

} // namespace foxtailbarrow::cell::test
