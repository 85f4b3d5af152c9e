#include <gtest/gtest.h>

#include "src/core/cell/crashes/CrashBlame.h"
#include "src/core/cell/crashes/CrashHistory.h"
#include "src/core/cell/crashes/CrashTrials.h"
#include "src/core/cell/workers/WorkerStateTracker.h"

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
  std::vector<RunAtCrash> mRuns;
  std::vector<CrashBlame> mBlames;
};

class CrashBlameTest : public testing::TestWithParam<BlameCase>
{};

TEST_P(CrashBlameTest, FallsOnTheLikeliestRuns)
{
  EXPECT_EQ(AssignBlame(GetParam().mRuns), GetParam().mBlames);
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
    BlameCase{ "ColocatedWithASuspect",
               { { milliseconds(0), false }, { milliseconds(40), true } },
               { Possible, Likely } },
    BlameCase{ "ASuspectWithOlderRuns",
               { { milliseconds(0), true }, { milliseconds(900), false } },
               { Sole, Possible } },
    BlameCase{ "TwoSuspects",
               { { milliseconds(0), true }, { milliseconds(40), true } },
               { Likely, Likely } },
    BlameCase{ "OneThatIsNoSuspect",
               { { milliseconds(0), false } },
               { Likely } },
    BlameCase{ "ASuspectThatIsNotFresh",
               { { milliseconds(0), false }, { milliseconds(900), true } },
               { Likely, Possible } },
    BlameCase{ "FreshBeforeOlder",
               { { milliseconds(400), false }, { milliseconds(900), false } },
               { Likely, Possible } },
    BlameCase{ "NoneFresh",
               { { milliseconds(600), false }, { milliseconds(900), true } },
               { Possible, Possible } },
    BlameCase{ "AllProven",
               { { seconds(2), true }, { seconds(60), false } },
               { None, None } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(CrashHistoryTest, ACrashCountsOnceHoweverOftenItIsReported)
{
  CrashHistory history;
  EXPECT_TRUE(history.RecordCrash(5, Likely));
  EXPECT_FALSE(history.RecordCrash(5, Likely));
  EXPECT_FALSE(history.RecordCrash(5, Possible));
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

TEST_P(CrashHistoryCaseTest, ClassifiesTheTask)
{
  CrashHistory history;
  RunNumber run = 0;
  for (const CrashBlame blame : GetParam().mCrashes) {
    history.RecordCrash(++run, blame);
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
    HistoryCase{ "OncePossible", { Possible }, Suspicion::None, false },
    HistoryCase{ "TwicePossible",
                 { Possible, Possible },
                 Suspicion::Unclear,
                 false },
    HistoryCase{ "OftenPossible",
                 { Possible, Possible, Possible, Possible },
                 Suspicion::Unclear,
                 false },
    HistoryCase{ "LikelyThenSole", { Likely, Sole }, Suspicion::Strong, true },
    HistoryCase{ "OneSole", { Sole }, Suspicion::Strong, false },
    HistoryCase{ "PossibleThenSole",
                 { Possible, Possible, Sole, Sole },
                 Suspicion::Strong,
                 true },
    HistoryCase{ "OneUnconfirmed", { Unconfirmed }, Suspicion::Weak, false },
    HistoryCase{ "UnconfirmedThenSole",
                 { Unconfirmed, Sole },
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
                 { Possible, Possible, Possible, Possible, Likely },
                 Suspicion::Unclear,
                 true },
    HistoryCase{ "PossibleThenLikely",
                 { Possible, Possible, Likely, Likely },
                 Suspicion::Strong,
                 false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(CrashHistoryTest, ALaterRunClearsEarlierCrashes)
{
  CrashHistory history;
  history.RecordCrash(5, Likely);
  EXPECT_TRUE(history.Clear(6));
  EXPECT_FALSE(history.Suspect());
  EXPECT_FALSE(history.RecordCrash(5, Likely)); // Reported again.
  EXPECT_TRUE(history.RecordCrash(7, Likely));
  EXPECT_FALSE(CrashHistory().Clear(6));
}

TEST(CrashHistoryTest, AnUnexplainedLossBlocksTheLastStart)
{
  CrashHistory history;
  history.RecordUnexplainedLoss(1, kNow);
  EXPECT_TRUE(history.MayStart(kNow));
  history.RecordCrash(1, Likely);
  history.RecordUnexplainedLoss(2, kNow);
  EXPECT_FALSE(history.MayStart(kNow));
  EXPECT_TRUE(history.MayStart(kNow + CrashHistory::kUnexplainedTimeout));
  history.ClearUnexplainedLoss(2);
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
  int mLimit;
};

class CrashTrialsTest : public testing::TestWithParam<TrialCase>
{};

TEST_P(CrashTrialsTest, AreLimitedToAShareOfTheWorkers)
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
  EXPECT_EQ(begun, limit.mLimit);
  trials.End(AgentId("0"), FirstOf(1)); // Another run: no effect.
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
  // Members of a gang share a run number.
  EXPECT_TRUE(trials.MayBegin(
    { { kSecond, 7 }, queue, Suspicion::Weak }, kWorkers, kNow));
}

/// A queue whose tasks keep crashing workers has suspects for every trial, and
/// without this rule each trial that ends would go to its next suspect.
TEST(CrashTrials, AQueueLeavesHalfToWaitingQueues)
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
  // A queue that stopped asking does not hold back others.
  EXPECT_TRUE(trials.MayBegin(next, kWorkers, kNow + CrashTrials::kTurnTime));
}

/// A trial whose start is being saved keeps its worker and its place; without
/// that another start took the worker, and the trial waited for seconds.
TEST(CrashTrials, APlannedTrialKeepsItsWorkerAndItsPlace)
{
  constexpr std::size_t kWorkers = 8; // Two strong trials.
  constexpr Suspicion kKind = Suspicion::Strong;
  const AgentId agent("0");
  const TaskRef other{ JobId("other"), 0, 0, 0 };
  const Instant end = kNow + CrashTrials::kPlanTime;
  CrashTrials trials;
  trials.Plan(agent, Suspect(0, kKind), kNow);
  trials.Begin(AgentId("1"), Suspect(1, kKind));
  EXPECT_FALSE(trials.MayBegin(Suspect(2, kKind), kWorkers, kNow));
  EXPECT_TRUE(trials.MayBegin(Suspect(0, kKind), kWorkers, kNow));
  EXPECT_FALSE(trials.AllowsStart(agent, other, Suspicion::None, kNow));
  EXPECT_TRUE(trials.AllowsStart(agent, FirstOf(0).mTask, kKind, kNow));
  // The store does not answer.
  EXPECT_TRUE(trials.MayBegin(Suspect(2, kKind), kWorkers, end));
  EXPECT_TRUE(trials.AllowsStart(agent, other, Suspicion::None, end));
  // The trial begins elsewhere.
  trials.Begin(AgentId("2"), Suspect(0, kKind));
  EXPECT_TRUE(trials.AllowsStart(agent, other, Suspicion::None, kNow));
}

TEST(CrashTrials, AWorkerNeverTriesTwoSuspects)
{
  CrashTrials trials;
  trials.Begin(AgentId("weak"), Suspect(0, Suspicion::Weak));
  trials.Begin(AgentId("strong"), Suspect(1, Suspicion::Strong));
  const auto allows = [&trials](const char* aAgent, Suspicion aSuspicion) {
    return trials.AllowsStart(
      AgentId(aAgent), { JobId("any"), 0, 0, 0 }, aSuspicion, {});
  };
  EXPECT_TRUE(allows("weak", Suspicion::None));
  EXPECT_FALSE(allows("weak", Suspicion::Weak));
  trials.Begin(AgentId("unclear"), Suspect(2, Suspicion::Unclear));
  EXPECT_FALSE(allows("unclear", Suspicion::None));
  EXPECT_FALSE(allows("strong", Suspicion::None));
  EXPECT_TRUE(allows("other", Suspicion::Strong));
}

TEST(CrashTrials, AReservedWorkerStartsNothingElse)
{
  const TaskRef suspect{ JobId("job"), 0, 0, 0 };
  const TaskRef other{ JobId("other"), 0, 0, 0 };
  const AgentId agent("a");
  const Instant begin{ std::chrono::seconds(100) };
  const Instant end = begin + CrashTrials::kReservationTime;
  CrashTrials trials;
  EXPECT_TRUE(trials.Reserve(agent, suspect, 8, begin));
  EXPECT_FALSE(trials.Reserve(AgentId("b"), suspect, 8, begin));
  EXPECT_FALSE(trials.Reserve(agent, other, 8, begin));
  EXPECT_TRUE(trials.AllowsStart(agent, suspect, Suspicion::Strong, begin));
  EXPECT_FALSE(trials.AllowsStart(agent, other, Suspicion::Strong, begin));
  EXPECT_FALSE(trials.AllowsStart(agent, other, Suspicion::None, begin));
  EXPECT_TRUE(trials.AllowsStart(agent, other, Suspicion::None, end));
  EXPECT_TRUE(trials.Reserve(AgentId("b"), suspect, 8, end));
  trials.Begin(AgentId("c"),
               { { suspect, 1 }, QueueId("queue"), Suspicion::Strong });
  EXPECT_TRUE(trials.AllowsStart(AgentId("b"), other, Suspicion::None, end));
}

/// Guards against gangs that lack room and keep suspects from being tried: a
/// reservation that is over is no reason for a turn.
TEST(CrashTrials, AGangThatWaitsForRoomAloneGetsNoTurn)
{
  const TaskRef gang{ JobId("gang"), 0, 0, 0 };
  const Instant begin{ std::chrono::seconds(100) };
  const Instant end = begin + CrashTrials::kReservationTime;
  CrashTrials trials;
  ASSERT_TRUE(trials.Reserve(AgentId("a"), kFirst, 8, begin));
  trials.Plan(AgentId("b"), Suspect(0, Suspicion::Weak), begin);
  EXPECT_FALSE(trials.ClaimTurn(gang, end));
  EXPECT_TRUE(trials.MayBegin(Suspect(1, Suspicion::Weak), 8, end));
}

TEST(CrashTrials, ReservationsAreLimitedToStrongTrials)
{
  CrashTrials trials;
  std::size_t reserved = 0;
  for (int number = 0; number < 16; ++number) {
    const std::string name = std::to_string(number);
    reserved +=
      trials.Reserve(AgentId(name), { JobId(name), 0, 0, 0 }, 16, {}) ? 1 : 0;
  }
  EXPECT_EQ(reserved, 2U); // An eighth of the workers.
}

TEST(WorkerStateTrackerTest, ACrashListsRunsThatMayHaveCausedIt)
{
  WorkerStateTracker tracker;
  tracker.OnStarted(kFirst, 1, kNow);
  tracker.OnSent(kSecond, 2);
  const TaskRef third{ JobId("job"), 0, 0, 2 };
  tracker.OnSent(third, 3);
  tracker.OnNotStarted(third, 3);
  const CrashedWorker crash = tracker.CrashAfter(kNow + milliseconds(40));
  const std::vector<CrashedRun> expected = {
    { kSecond, 2, Duration::zero(), false },
    { kFirst, 1, milliseconds(40), true }
  };
  EXPECT_EQ(crash.mRuns, expected);
  EXPECT_EQ(tracker.CrashAfter(kNow + kProvenUptime).mRuns.size(), 1U);
}

TEST(WorkerStateTrackerTest, UptimeExcludesTheTimeThatAPollTook)
{
  WorkerStateTracker tracker;
  tracker.OnSent(kFirst, 1);
  PollReply poll;
  poll.mRunning.emplace_back().mTask = kFirst;
  poll.mRunning.back().mRun = 1;
  const Instant answered = kNow + milliseconds(400);
  tracker.OnPoll(poll, kNow, answered);
  tracker.OnAllSettled();
  const std::vector<CrashedRun> expected = { { kFirst, 1, {}, true } };
  EXPECT_EQ(tracker.CrashAfter(answered).mRuns, expected);
}

TEST(WorkerStateTrackerTest, EndedRunsDidNotCrashTheWorker)
{
  WorkerStateTracker tracker;
  tracker.OnStarted(kFirst, 1, kNow);
  PollReply poll;
  poll.mEnded.push_back({ 1, kFirst, 1, RunEnd::Done, {} });
  tracker.OnPoll(poll, kNow + milliseconds(4), kNow + milliseconds(5));
  EXPECT_TRUE(tracker.CrashAfter(kNow + milliseconds(10)).mRuns.empty());
}

} // namespace

} // namespace foxtailbarrow::cell::test
