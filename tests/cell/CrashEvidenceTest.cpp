#include <gtest/gtest.h>

#include "src/core/cell/CrashBlame.h"
#include "src/core/cell/CrashHistory.h"
#include "src/core/cell/CrashTrials.h"
#include "src/core/cell/WorkerBook.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using enum CrashBlame;

const Instant kNow{ seconds(1000) };
const TaskRef kFirst{ JobId("job"), 0, 0, 0 };
const TaskRef kSecond{ JobId("job"), 0, 0, 1 };

struct BlameCase
{
  const char* mName;
  std::vector<CrashWitness> mWitnesses;
  std::vector<CrashBlame> mBlames;
};

class CrashBlameTest : public testing::TestWithParam<BlameCase>
{};

TEST_P(CrashBlameTest, FallsOnTheLikeliest)
{
  EXPECT_EQ(JudgeCrash(GetParam().mWitnesses), GetParam().mBlames);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CrashBlameTest,
  testing::Values(
    BlameCase{ "NothingRan", {}, {} },
    BlameCase{ "JustStarted",
               { { milliseconds(0), false }, { seconds(5), false } },
               { Likely, None } },
    BlameCase{ "StartedTogether",
               { { milliseconds(0), false }, { milliseconds(40), false } },
               { Likely, Likely } },
    BlameCase{ "BesideASuspect",
               { { milliseconds(0), false }, { milliseconds(40), true } },
               { Beside, Likely } },
    BlameCase{ "ASuspectThatIsNotFresh",
               { { milliseconds(0), false }, { milliseconds(900), true } },
               { Likely, Beside } },
    BlameCase{ "NoneFresh",
               { { milliseconds(900), false }, { seconds(1), false } },
               { Likely, Likely } },
    BlameCase{ "AllProven",
               { { seconds(2), true }, { seconds(60), false } },
               { None, None } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(CrashHistoryTest, ACrashCountsOnceHoweverOftenItIsTold)
{
  CrashHistory history;
  EXPECT_TRUE(history.NoteCrash(5, Likely));
  EXPECT_FALSE(history.NoteCrash(5, Likely));
  EXPECT_FALSE(history.NoteCrash(5, Beside));
  EXPECT_EQ(history.Count(), 1U);
}

TEST(CrashHistoryTest, ThreeLikelyOrFiveInAllGiveItUp)
{
  CrashHistory likely;
  likely.NoteCrash(1, Likely);
  likely.NoteCrash(2, Likely);
  EXPECT_FALSE(likely.GivenUp());
  EXPECT_TRUE(likely.StrongSuspect());
  likely.NoteCrash(3, Likely);
  EXPECT_TRUE(likely.GivenUp());

  CrashHistory beside;
  for (RunNumber run = 1; run <= 4; ++run) {
    beside.NoteCrash(run, Beside);
  }
  EXPECT_FALSE(beside.GivenUp());
  EXPECT_FALSE(beside.Suspect());
  beside.NoteCrash(5, Beside);
  EXPECT_TRUE(beside.GivenUp());
}

TEST(CrashHistoryTest, ARunThatLivesDisprovesEarlierCrashes)
{
  CrashHistory history;
  history.NoteCrash(5, Likely);
  EXPECT_TRUE(history.Clear(6));
  EXPECT_FALSE(history.Suspect());
  EXPECT_FALSE(history.NoteCrash(5, Likely)); // Told again.
  EXPECT_TRUE(history.NoteCrash(7, Likely));
  EXPECT_FALSE(CrashHistory().Clear(6));
}

TEST(CrashHistoryTest, ALossThatIsNotExplainedHoldsTheLastStart)
{
  CrashHistory history;
  history.NoteCrash(1, Likely);
  history.NoteUnexplained(2, kNow);
  EXPECT_TRUE(history.MayStart(kNow));
  history.NoteUnexplained(3, kNow);
  EXPECT_FALSE(history.MayStart(kNow));
  EXPECT_TRUE(history.MayStart(kNow + CrashHistory::kUnexplainedFor));
  history.Explain(3);
  EXPECT_TRUE(history.MayStart(kNow));
}

TEST(CrashTrialsTest, FewWorkersAreRiskedAtATime)
{
  constexpr std::size_t kWorkers = 24;
  CrashTrials trials;
  for (int job = 0; job < 3; ++job) {
    const TaskRef task{ JobId("job" + std::to_string(job)), 0, 0, 0 };
    EXPECT_TRUE(trials.MayBegin({ task, 1 }, kWorkers));
    trials.Begin(AgentId(std::to_string(job)), { task, 1 });
  }
  const TaskRef other{ JobId("other"), 0, 0, 0 };
  EXPECT_FALSE(trials.MayBegin({ other, 1 }, kWorkers));
  trials.End(AgentId("0"), { other, 1 }); // Another run.
  EXPECT_TRUE(trials.On(AgentId("0")));
  trials.End(AgentId("0"), { { JobId("job0"), 0, 0, 0 }, 1 });
  EXPECT_TRUE(trials.MayBegin({ other, 1 }, kWorkers));
}

TEST(CrashTrialsTest, AJobRisksOneWorkerButAGangAllItsMembers)
{
  constexpr std::size_t kWorkers = 64;
  CrashTrials trials;
  trials.Begin(AgentId("a"), { kFirst, 7 });
  EXPECT_FALSE(trials.MayBegin({ kSecond, 8 }, kWorkers));
  EXPECT_TRUE(trials.MayBegin({ kSecond, 7 }, kWorkers)); // One run of a gang.
}

TEST(WorkerBookTest, ACrashNamesWhatMayHaveCausedIt)
{
  WorkerBook book;
  book.TakeStart(kFirst, 1, kNow);
  book.NoteSent(kSecond, 2);
  const TaskRef third{ JobId("job"), 0, 0, 2 };
  book.NoteSent(third, 3);
  book.NoteNotStarted(third, 3);
  const CrashedWorker crash = book.CrashAfter(kNow + milliseconds(40));
  const std::vector<CrashedRun> expected = { { kSecond, 2, Duration::zero() },
                                             { kFirst, 1, milliseconds(40) } };
  EXPECT_EQ(crash.mRuns, expected);
  EXPECT_EQ(book.CrashAfter(kNow + kProvenLife).mRuns.size(), 1U);
}

TEST(WorkerBookTest, WhatHasEndedDidNotCrashTheWorker)
{
  WorkerBook book;
  book.TakeStart(kFirst, 1, kNow);
  LookReply look;
  look.mEnded.push_back({ 1, kFirst, 1, RunEnd::Done, {} });
  book.TakeLook(look, kNow + milliseconds(5));
  EXPECT_TRUE(book.CrashAfter(kNow + milliseconds(10)).mRuns.empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
