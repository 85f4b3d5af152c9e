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
    BlameCase{ "ASuspectBesideOlderOnes",
               { { milliseconds(0), true }, { milliseconds(900), false } },
               { Alone, Beside } },
    BlameCase{ "TwoSuspects",
               { { milliseconds(0), true }, { milliseconds(40), true } },
               { Likely, Likely } },
    BlameCase{ "OneThatIsNoSuspect",
               { { milliseconds(0), false } },
               { Likely } },
    BlameCase{ "ASuspectThatIsNotFresh",
               { { milliseconds(0), false }, { milliseconds(900), true } },
               { Likely, Beside } },
    BlameCase{ "FreshBeforeOlder",
               { { milliseconds(400), false }, { milliseconds(900), false } },
               { Likely, Beside } },
    BlameCase{ "NoneFresh",
               { { milliseconds(600), false }, { milliseconds(900), true } },
               { Beside, Beside } },
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

struct HistoryCase
{
  const char* mName;
  std::vector<CrashBlame> mCrashes;
  Suspicion mSuspicion;
  bool mGivenUp;
};

class CrashHistoryCaseTest : public testing::TestWithParam<HistoryCase>
{};

TEST_P(CrashHistoryCaseTest, JudgesTheTask)
{
  CrashHistory history;
  RunNumber run = 0;
  for (const CrashBlame blame : GetParam().mCrashes) {
    history.NoteCrash(++run, blame);
  }
  EXPECT_EQ(history.Suspected(), GetParam().mSuspicion);
  EXPECT_EQ(history.GivenUp(), GetParam().mGivenUp);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CrashHistoryCaseTest,
  testing::Values(
    HistoryCase{ "None", {}, Suspicion::None, false },
    HistoryCase{ "OneLikely", { Likely }, Suspicion::Weak, false },
    HistoryCase{ "TwoLikely", { Likely, Likely }, Suspicion::Strong, false },
    HistoryCase{ "Three", { Likely, Likely, Likely }, Suspicion::Strong, true },
    HistoryCase{ "OnceBeside", { Beside }, Suspicion::None, false },
    HistoryCase{ "TwiceBeside", { Beside, Beside }, Suspicion::Unclear, false },
    HistoryCase{ "OftenBeside",
                 { Beside, Beside, Beside, Beside },
                 Suspicion::Unclear,
                 false },
    HistoryCase{ "LikelyThenAlone",
                 { Likely, Alone },
                 Suspicion::Strong,
                 true },
    HistoryCase{ "OneAlone", { Alone }, Suspicion::Strong, false },
    HistoryCase{ "BesideThenAlone",
                 { Beside, Beside, Alone, Alone },
                 Suspicion::Strong,
                 true },
    HistoryCase{ "OneUnconfirmed", { Unconfirmed }, Suspicion::Weak, false },
    HistoryCase{ "UnconfirmedThenAlone",
                 { Unconfirmed, Alone },
                 Suspicion::Strong,
                 false },
    HistoryCase{ "NeverConfirmed",
                 { Unconfirmed, Unconfirmed, Unconfirmed, Unconfirmed },
                 Suspicion::Unclear,
                 false },
    HistoryCase{
      "FiveNeverConfirmed",
      { Unconfirmed, Unconfirmed, Unconfirmed, Unconfirmed, Unconfirmed },
      Suspicion::Unclear,
      true },
    HistoryCase{ "FiveInAll",
                 { Beside, Beside, Beside, Beside, Likely },
                 Suspicion::Unclear,
                 true },
    HistoryCase{ "BesideThenLikely",
                 { Beside, Beside, Likely, Likely },
                 Suspicion::Strong,
                 false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

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
  history.NoteUnexplained(1, kNow);
  EXPECT_TRUE(history.MayStart(kNow));
  history.NoteCrash(1, Likely);
  history.NoteUnexplained(2, kNow);
  EXPECT_FALSE(history.MayStart(kNow));
  EXPECT_TRUE(history.MayStart(kNow + CrashHistory::kUnexplainedFor));
  history.Explain(2);
  EXPECT_TRUE(history.MayStart(kNow));
}

RunRef FirstOf(int aJob)
{
  return { { JobId("job" + std::to_string(aJob)), 0, 0, 0 }, 1 };
}

SuspectStart Suspect(int aJob,
                     Suspicion aSuspicion,
                     const char* aQueue = "queue")
{
  return { FirstOf(aJob), QueueId(aQueue), aSuspicion };
}

struct TrialCase
{
  const char* mName;
  Suspicion mSuspicion;
  std::size_t mWorkers;
  int mMost;
};

class CrashTrialsTest : public testing::TestWithParam<TrialCase>
{};

TEST_P(CrashTrialsTest, RiskAShareOfTheWorkersAtATime)
{
  const TrialCase& limit = GetParam();
  CrashTrials trials;
  int begun = 0;
  while (
    trials.MayBegin(Suspect(begun, limit.mSuspicion), limit.mWorkers, kNow)) {
    const AgentId agent(std::to_string(begun));
    trials.Begin(agent, Suspect(begun, limit.mSuspicion));
    ++begun;
  }
  EXPECT_EQ(begun, limit.mMost);
  trials.End(AgentId("0"), FirstOf(1)); // Another run: nothing happens.
  EXPECT_FALSE(
    trials.MayBegin(Suspect(begun, limit.mSuspicion), limit.mWorkers, kNow));
  trials.End(AgentId("0"), FirstOf(0));
  EXPECT_TRUE(
    trials.MayBegin(Suspect(begun, limit.mSuspicion), limit.mWorkers, kNow));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CrashTrialsTest,
  testing::Values(TrialCase{ "StrongOfEleven", Suspicion::Strong, 11, 2 },
                  TrialCase{ "WeakOfEleven", Suspicion::Weak, 11, 5 },
                  TrialCase{ "StrongOf160", Suspicion::Strong, 160, 20 },
                  TrialCase{ "WeakOf160", Suspicion::Weak, 160, 80 },
                  TrialCase{ "UnclearOfEleven", Suspicion::Unclear, 11, 5 },
                  TrialCase{ "StrongOfOne", Suspicion::Strong, 1, 2 },
                  TrialCase{ "WeakOfOne", Suspicion::Weak, 1, 2 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(CrashTrials, AJobRisksOneWorkerButAGangAllItsMembers)
{
  constexpr std::size_t kWorkers = 64;
  CrashTrials trials;
  const QueueId queue("queue");
  trials.Begin(AgentId("a"), { { kFirst, 7 }, queue, Suspicion::Weak });
  EXPECT_FALSE(trials.MayBegin(
    { { kSecond, 8 }, queue, Suspicion::Weak }, kWorkers, kNow));
  // One run of a gang.
  EXPECT_TRUE(trials.MayBegin(
    { { kSecond, 7 }, queue, Suspicion::Weak }, kWorkers, kNow));
}

/// A queue whose tasks crash workers again and again has suspects for all
/// places, and each that came free went to the next of them.
TEST(CrashTrials, AQueueLeavesHalfToOthersThatWait)
{
  constexpr std::size_t kWorkers = 32;
  constexpr Suspicion kKind = Suspicion::Strong;
  CrashTrials trials;
  for (int job = 0; job < 4; ++job) {
    const SuspectStart start = Suspect(job, kKind, "crashing");
    ASSERT_TRUE(trials.MayBegin(start, kWorkers, kNow));
    trials.Begin(AgentId(std::to_string(job)), start);
  }
  const SuspectStart next = Suspect(4, kKind, "crashing");
  const SuspectStart other = Suspect(5, kKind, "other");
  EXPECT_FALSE(trials.MayBegin(other, kWorkers, kNow));
  trials.End(AgentId("0"), FirstOf(0));
  EXPECT_FALSE(trials.MayBegin(next, kWorkers, kNow));
  EXPECT_TRUE(trials.MayBegin(other, kWorkers, kNow));
  // What does not ask any more holds nothing back.
  EXPECT_TRUE(trials.MayBegin(next, kWorkers, kNow + CrashTrials::kTurn));
}

TEST(CrashTrials, SuspectsAreNeverTwoOnAWorker)
{
  CrashTrials trials;
  trials.Begin(AgentId("weak"), Suspect(0, Suspicion::Weak));
  trials.Begin(AgentId("strong"), Suspect(1, Suspicion::Strong));
  const auto takes = [&trials](const char* aAgent, Suspicion aSuspicion) {
    return trials.Takes(
      AgentId(aAgent), { JobId("any"), 0, 0, 0 }, aSuspicion, {});
  };
  EXPECT_TRUE(takes("weak", Suspicion::None));
  EXPECT_FALSE(takes("weak", Suspicion::Weak));
  trials.Begin(AgentId("unclear"), Suspect(2, Suspicion::Unclear));
  EXPECT_FALSE(takes("unclear", Suspicion::None));
  EXPECT_FALSE(takes("strong", Suspicion::None));
  EXPECT_TRUE(takes("other", Suspicion::Strong));
}

TEST(CrashTrials, AReservedWorkerTakesNothingElseForAWhile)
{
  const TaskRef suspect{ JobId("job"), 0, 0, 0 };
  const TaskRef other{ JobId("other"), 0, 0, 0 };
  const AgentId agent("a");
  const Instant begin{ std::chrono::seconds(100) };
  const Instant end = begin + CrashTrials::kReservedFor;
  CrashTrials trials;
  EXPECT_TRUE(trials.Reserve(agent, suspect, 8, begin));
  EXPECT_FALSE(trials.Reserve(AgentId("b"), suspect, 8, begin));
  EXPECT_FALSE(trials.Reserve(agent, other, 8, begin));
  EXPECT_TRUE(trials.Takes(agent, suspect, Suspicion::Strong, begin));
  EXPECT_FALSE(trials.Takes(agent, other, Suspicion::Strong, begin));
  EXPECT_FALSE(trials.Takes(agent, other, Suspicion::None, begin));
  EXPECT_TRUE(trials.Takes(agent, other, Suspicion::None, end));
  EXPECT_TRUE(trials.Reserve(AgentId("b"), suspect, 8, end));
  trials.Begin(AgentId("c"),
               { { suspect, 1 }, QueueId("queue"), Suspicion::Strong });
  EXPECT_TRUE(trials.Takes(AgentId("b"), other, Suspicion::None, end));
}

TEST(CrashTrials, NoMoreIsReservedThanMayBeOnTrial)
{
  CrashTrials trials;
  std::size_t reserved = 0;
  for (int number = 0; number < 16; ++number) {
    const std::string name = std::to_string(number);
    reserved +=
      trials.Reserve(AgentId(name), { JobId(name), 0, 0, 0 }, 16, {}) ? 1 : 0;
  }
  EXPECT_EQ(reserved, 2U); // An eighth.
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
  const std::vector<CrashedRun> expected = {
    { kSecond, 2, Duration::zero(), false },
    { kFirst, 1, milliseconds(40), true }
  };
  EXPECT_EQ(crash.mRuns, expected);
  EXPECT_EQ(book.CrashAfter(kNow + kProvenLife).mRuns.size(), 1U);
}

TEST(WorkerBookTest, ARunHasNotLivedWhileTheLookThatShowsItWaited)
{
  WorkerBook book;
  book.NoteSent(kFirst, 1);
  LookReply look;
  look.mRunning.emplace_back().mTask = kFirst;
  look.mRunning.back().mRun = 1;
  const Instant answered = kNow + milliseconds(400);
  book.TakeLook(look, kNow, answered);
  book.NoteAllSettled();
  const std::vector<CrashedRun> expected = { { kFirst, 1, {}, true } };
  EXPECT_EQ(book.CrashAfter(answered).mRuns, expected);
}

TEST(WorkerBookTest, WhatHasEndedDidNotCrashTheWorker)
{
  WorkerBook book;
  book.TakeStart(kFirst, 1, kNow);
  LookReply look;
  look.mEnded.push_back({ 1, kFirst, 1, RunEnd::Done, {} });
  book.TakeLook(look, kNow + milliseconds(4), kNow + milliseconds(5));
  EXPECT_TRUE(book.CrashAfter(kNow + milliseconds(10)).mRuns.empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
