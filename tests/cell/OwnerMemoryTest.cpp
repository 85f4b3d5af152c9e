#include <cstdint>
#include <string>

#include "src/core/message/Codec.h"
#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {
namespace {

constexpr std::int32_t kMinuteMs = 60'000;

/// Guards against an owner whose memory grows with what its jobs will ask for
/// in all: it was killed while it loaded one repeated job, again and again, and
/// no job of the cell ran any more.
class OwnerMemoryTest : public CellFixture
{
protected:
  JobGraph Repeated(const std::string& aId,
                    std::int32_t aTimes,
                    std::vector<StepSpec> aSteps,
                    std::int64_t aIntervalMs = kMinuteMs) const
  {
    JobGraph graph = Graph(aId, std::move(aSteps));
    graph.mRecurrence = { aTimes, mUnixMs, aIntervalMs };
    return graph;
  }

  const JobEntry& Job(const std::string& aId) const
  {
    return mScheduler.Jobs().at(JobId(aId));
  }

  /// Runs everything that is started on the agent to its end, for `aRounds`
  /// rounds of one second.
  void RunToEnd(const std::string& aAgent, int aRounds)
  {
    std::vector<EndedTask> ended;
    for (int i = 0; i < aRounds; ++i) {
      Grant(aAgent);
      const OrderRequest orders = Orders(aAgent);
      Started(aAgent, orders);
      ended.clear();
      for (const StartOrder& start : orders.mStarts) {
        ++mRunsOf[start.mTask];
        ended.push_back(
          Ended(++mLastEnd, start.mTask, start.mRun, RunEnd::Done));
      }
      Report(aAgent, State(aAgent + "-life", {}, ended));
      SaveProgress();
      AdvanceClock(seconds(1));
    }
  }

  std::int64_t mLastEnd = 0;
  std::map<TaskRef, int> mRunsOf;
};

struct LargeJobCase
{
  std::string mName;
  std::int32_t mTimes;
  std::int64_t mIntervalMs;
  int mSteps;
  std::int32_t mReplicas;
};

class LargeJobTest
  : public OwnerMemoryTest
  , public testing::WithParamInterface<LargeJobCase>
{
protected:
  JobGraph Large() const
  {
    const LargeJobCase& job = GetParam();
    return Repeated("large",
                    job.mTimes,
                    std::vector<StepSpec>(static_cast<std::size_t>(job.mSteps),
                                          Step(job.mReplicas)),
                    job.mIntervalMs);
  }
};

INSTANTIATE_TEST_SUITE_P(
  Shapes,
  LargeJobTest,
  testing::Values(
    LargeJobCase{ "EachMinuteForAWeek", 10'000, kMinuteMs, 3, 36 },
    LargeJobCase{ "AllDueAtOnce", 10'000, 0, 64, 10'000 },
    LargeJobCase{ "WideAndDeep", 0, 0, 64, 10'000 }),
  [](const auto& aInfo) { return aInfo.param.mName; });

TEST_P(LargeJobTest, TakesNoMemoryForWhatHasNotStarted)
{
  AddSavedJob(Large());
  AttachAndGrant("agent");
  Orders("agent");
  EXPECT_LE(mScheduler.TouchedTasks(), 8); // The worker's cores.
  EXPECT_LE(mScheduler.OpenSteps(),
            mSettings.mLimits.OpenStepsOfJob() + GetParam().mSteps);
}

TEST_P(LargeJobTest, LeavesOtherJobsAtWork)
{
  AddSavedJob(Large());
  mScheduler.CancelJob(JobId("large"), Clock());
  SaveProgress();
  AddSavedJob(Graph("small", { Step(1) }));
  AttachAndGrant("agent");
  RunToEnd("agent", 1);
  EXPECT_EQ(Job("small").mPhase, JobPhase::Completed);
}

TEST_P(LargeJobTest, TakesNoMemoryOnceItHasEnded)
{
  AddSavedJob(Large());
  AttachAndGrant("agent");
  Orders("agent");
  mScheduler.CancelJob(JobId("large"), Clock());
  SaveProgress();
  Report("agent", State("agent-life"));
  Schedule();
  EXPECT_TRUE(Job("large").mOpen.empty());
  EXPECT_TRUE(Job("large").Graph().mSteps.empty());
  EXPECT_EQ(mScheduler.PhaseOf(JobId("large")), JobPhase::Cancelled);
}

TEST_F(OwnerMemoryTest, RunsEachOccurrenceOnceAndForgetsIt)
{
  constexpr std::int32_t kTimes = 40;
  AddSavedJob(Repeated("job", kTimes, { Step(2) }, 1000));
  AttachAndGrant("agent");
  RunToEnd("agent", kTimes + 2);
  EXPECT_EQ(Job("job").mPhase, JobPhase::Completed);
  EXPECT_EQ(mRunsOf.size(), std::size_t{ 2 * kTimes });
  for (const auto& [task, runs] : mRunsOf) {
    EXPECT_EQ(runs, 1) << ToString(task);
  }
}

TEST_F(OwnerMemoryTest, AProgressRecordDoesNotGrowWithDoneOccurrences)
{
  AddSavedJob(Repeated("job", 10'000, { Step(4) }, 1000));
  AttachAndGrant("agent");
  RunToEnd("agent", 20);
  const StoredProgress progress = ProgressOf(Job("job"));
  EXPECT_LE(progress.mSteps.size(), 1U);
  EXPECT_EQ(progress.mDoneOccurrences.size(), 2U);
  const auto read = FromJsonText<StoredProgress>(ToJsonText(progress));
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(*read, progress);
}

TEST_F(OwnerMemoryTest, ANextOwnerDoesNotRepeatDoneOccurrences)
{
  AddSavedJob(Repeated("job", 30, { Step(2) }, 1000));
  AttachAndGrant("agent");
  RunToEnd("agent", 10);
  const StoredProgress progress = ProgressOf(Job("job"));
  JobEntry next = MakeJobEntry(Job("job").mStored, progress, Policy());
  ASSERT_EQ(next.mDoneOccurrences.Count(), 10);
  EXPECT_TRUE(next.Find({ JobId("job"), 9, 0, 1 })->mDone);
  EXPECT_EQ(next.NextOccurrence(), 10);
}

/// Records of earlier versions list each done step.
TEST_F(OwnerMemoryTest, ClosesDoneOccurrencesOfAnEarlierRecord)
{
  StoredProgress progress;
  for (std::int32_t number = 0; number < 5000; ++number) {
    progress.mSteps.push_back({ number, 0, "11", {}, {} });
    progress.mSteps.push_back({ number, 1, number == 7 ? "10" : "11", {}, {} });
  }
  const JobGraph graph = Repeated("job", 10'000, { Step(2), Step(2) });
  const JobEntry job = MakeJobEntry({ graph, mUnixMs, false }, progress, {});
  EXPECT_EQ(job.mOpen.size(), 1U);
  EXPECT_EQ(job.mDoneOccurrences.Count(), 4999);
  EXPECT_FALSE(job.Find({ JobId("job"), 7, 1, 1 })->mDone);
}

TEST_F(OwnerMemoryTest, StartsNoMoreTasksThanItHasMemoryFor)
{
  CellSettings settings = mSettings;
  settings.mLimits.mTasks = 5;
  CellScheduler scheduler(kGeneration, settings, [](const CellDecision&) {});
  scheduler.SetQueues({ Policy() });
  scheduler.AddJob(
    { Graph("job", { Step(20) }), mUnixMs, false }, {}, 7, Clock());
  scheduler.AttachWorker(
    AgentId("agent"), { "127.0.0.1", 1 }, 1, State("life"), Clock());
  scheduler.OnGrant(AgentId("agent"), mNow + seconds(3));
  scheduler.Schedule(Clock());
  EXPECT_EQ(scheduler.TakeOrders(AgentId("agent")).mStarts.size(), 5U);
}

TEST_F(OwnerMemoryTest, AcceptsNoMoreJobsThanItHasMemoryFor)
{
  JobGraph graph = Graph("", { Step(1) });
  graph.mPayload = std::string(kMaxPayloadBytes, 'x');
  int jobs = 0;
  while (mScheduler.AcceptsJobs() && jobs < 100'000) {
    graph.mId = JobId("job" + std::to_string(++jobs));
    mScheduler.AddJob({ graph, mUnixMs, false }, {}, 7, Clock());
  }
  EXPECT_LT(jobs, 20'000);
  EXPECT_GT(jobs, 5000);
  for (int i = 1; i <= jobs / 2; ++i) {
    mScheduler.CancelJob(JobId("job" + std::to_string(i)), Clock());
  }
  while (mScheduler.HasUnsavedJobs()) {
    SaveProgress();
  }
  mScheduler.Schedule(Clock());
  EXPECT_TRUE(mScheduler.AcceptsJobs());
}

/// A gang that does not fit is tried in each round.
TEST_F(OwnerMemoryTest, AGangThatDoesNotFitLeavesNoState)
{
  StepSpec gang = Step(9);
  gang.mGang = true;
  AddSavedJob(Graph("job", { gang }));
  AttachAndGrant("agent");
  Schedule();
  Schedule();
  Schedule();
  EXPECT_EQ(mScheduler.TouchedTasks(), 0);
}

} // namespace
} // namespace foxtailbarrow::cell::test
