#include <map>
#include <set>
#include <string>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {
namespace {

constexpr Duration kTick = milliseconds(100);

/// Guards against gangs that never start again after a crash: a worker tried
/// one suspect at a time, while a gang starts all its members or none.
class GangTrialTest : public CellFixture
{
protected:
  static StepSpec Gang(std::int32_t aMembers, std::int64_t aMillicores)
  {
    StepSpec step = Step(aMembers, aMillicores);
    step.mGang = true;
    return step;
  }

  void AddWorker(const std::string& aAgent)
  {
    mIncarnations[aAgent] = 1;
    Attach(aAgent, StateOf(aAgent));
  }

  WorkerState StateOf(const std::string& aAgent)
  {
    std::vector<RunningTask> running;
    for (const auto& [task, run] : mRuns[aAgent]) {
      running.push_back(Running(task, run));
    }
    return State(aAgent + "-" + std::to_string(mIncarnations[aAgent]),
                 std::move(running));
  }

  void Tick()
  {
    AdvanceClock(kTick);
    for (const auto& [agent, incarnation] : mIncarnations) {
      Grant(agent);
      Report(agent, StateOf(agent));
    }
    SaveProgress();
    Schedule();
    for (const auto& [agent, incarnation] : mIncarnations) {
      const OrderRequest orders = mScheduler.TakeOrders(AgentId(agent));
      Started(agent, orders);
      for (const StartOrder& start : orders.mStarts) {
        mRuns[agent][start.mTask] = start.mRun;
      }
      for (const StopOrder& stop : orders.mStops) {
        mRuns[agent].erase(stop.mTask);
      }
    }
  }

  void Pass(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += kTick) {
      Tick();
    }
  }

  /// The worker crashes and comes back at once.
  void Crash(const std::string& aAgent)
  {
    ++mIncarnations[aAgent];
    mRuns[aAgent].clear();
    Tick();
  }

  std::size_t RunningOf(const std::string& aJob) const
  {
    std::size_t running = 0;
    for (const auto& [agent, runs] : mRuns) {
      for (const auto& [task, run] : runs) {
        running += task.mJob == JobId(aJob) ? 1 : 0;
      }
    }
    return running;
  }

  std::size_t SuspectsOf(const std::string& aJob) const
  {
    return mScheduler.Jobs().at(JobId(aJob)).mSuspects.size();
  }

  std::map<std::string, int> mIncarnations;
  std::map<std::string, std::map<TaskRef, RunNumber>> mRuns;
};

struct GangCase
{
  std::string mName;
  std::int32_t mMembers;
  std::int64_t mMillicores;
  int mWorkers;
  std::int32_t mMaxPerWorker;
  bool mSameRack;
  bool mStanding;
};

class GangAfterCrashTest
  : public GangTrialTest
  , public testing::WithParamInterface<GangCase>
{};

INSTANTIATE_TEST_SUITE_P(
  Shapes,
  GangAfterCrashTest,
  testing::Values(GangCase{ "MoreSuspectsThanWorkers", 24, 1000, 4, 0, 0, 0 },
                  GangCase{ "OneWorker", 8, 1000, 1, 0, 0, 0 },
                  GangCase{ "TwoWorkers", 14, 1000, 2, 0, 0, 0 },
                  GangCase{ "ManySmallMembers", 150, 100, 3, 0, 0, 0 },
                  GangCase{ "LimitedPerWorker", 12, 1000, 4, 3, 0, 0 },
                  GangCase{ "OneRack", 16, 1000, 4, 0, true, 0 },
                  GangCase{ "Standing", 16, 1000, 3, 0, 0, true }),
  [](const auto& aInfo) { return aInfo.param.mName; });

TEST_P(GangAfterCrashTest, StartsAgain)
{
  const GangCase& shape = GetParam();
  for (int i = 0; i < shape.mWorkers; ++i) {
    AddWorker("agent" + std::to_string(i));
  }
  StepSpec gang = Gang(shape.mMembers, shape.mMillicores);
  gang.mMaxPerWorker = shape.mMaxPerWorker;
  gang.mSameRack = shape.mSameRack;
  gang.mStanding = shape.mStanding;
  AddSavedJob(Graph("job", { gang }));
  Pass(milliseconds(300));
  const auto members = static_cast<std::size_t>(shape.mMembers);
  ASSERT_EQ(RunningOf("job"), members);
  Crash("agent0");
  ASSERT_GT(SuspectsOf("job"), 0U);
  Pass(seconds(1));
  EXPECT_EQ(RunningOf("job"), members);
  Pass(milliseconds(1500));
  EXPECT_EQ(SuspectsOf("job"), 0U);
}

/// Each gang has more suspects than there are workers, so that they can only
/// be tried in turn.
TEST_F(GangTrialTest, SeveralGangsStartAgain)
{
  AddWorker("a");
  AddWorker("b");
  for (const char* const job : { "job1", "job2", "job3" }) {
    AddSavedJob(Graph(job, { Gang(5, 1000) }));
  }
  Pass(milliseconds(300));
  Crash("a");
  Crash("b");
  Pass(seconds(6));
  for (const char* const job : { "job1", "job2", "job3" }) {
    EXPECT_EQ(RunningOf(job), 5U) << job;
  }
}

/// Ordinary suspects take the trials of both workers, again and again.
TEST_F(GangTrialTest, AGangStartsBesideManyOtherSuspects)
{
  constexpr Duration kBound = 2 * CrashTrials::kGangTurnTime;
  AddWorker("a");
  AddWorker("b");
  AddSavedJob(Graph("gang", { Gang(6, 1000) }));
  for (int i = 0; i < 40; ++i) {
    AddSavedJob(Graph("other" + std::to_string(i), { Step(1, 100) }));
  }
  Pass(milliseconds(300));
  ASSERT_EQ(RunningOf("gang"), 6U);
  Crash("a");
  Crash("b");
  ASSERT_GT(SuspectsOf("gang"), 0U);
  Pass(kBound);
  EXPECT_EQ(RunningOf("gang"), 6U);
  // The others wait for the gang's turn only.
  Pass(seconds(30));
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(RunningOf("other" + std::to_string(i)), 1U) << i;
  }
}

/// Each gang waited until no other one of the job had a strong suspect.
TEST_F(GangTrialTest, GangsOfOneJobDoNotWaitForEachOther)
{
  StoredProgress progress;
  for (std::int32_t step = 0; step < 2; ++step) {
    StoredCrashes crashes;
    crashes.mIndex = 0;
    crashes.mRuns.mLikely = { kEarlierRun, kEarlierRun + 1 };
    progress.mSteps.push_back({ 0, step, "", {}, {}, { crashes } });
  }
  AddInherited(Graph("job", { Gang(3, 1000), Gang(3, 1000) }), progress);
  AddWorker("a");
  Pass(seconds(6));
  EXPECT_EQ(RunningOf("job"), 6U);
  EXPECT_EQ(SuspectsOf("job"), 0U);
}

TEST_F(GangTrialTest, ANextOwnerStartsAGangWithManySuspects)
{
  StoredProgress progress;
  StoredStep step{ 0, 0, "", {}, {} };
  for (std::int32_t index = 0; index < 6; ++index) {
    StoredCrashes crashes;
    crashes.mIndex = index;
    crashes.mRuns.mLikely = { kEarlierRun };
    step.mCrashes.push_back(crashes);
  }
  progress.mSteps.push_back(step);
  AddInherited(Graph("job", { Gang(12, 1000) }), progress);
  AddWorker("a");
  AddWorker("b");
  Pass(seconds(2));
  EXPECT_EQ(RunningOf("job"), 12U);
}

/// A gang with a member that crashes its worker must not cost more workers
/// than a task that does.
TEST_F(GangTrialTest, AGangThatCrashesItsWorkersIsGivenUp)
{
  const TaskRef crashing{ JobId("job"), 0, 0, 7 };
  std::vector<std::string> agents = { "a", "b", "c" };
  for (const std::string& agent : agents) {
    AddWorker(agent);
  }
  AddSavedJob(Graph("job", { Gang(12, 1000) }));
  std::size_t crashes = 0;
  for (int i = 0; i < 200; ++i) {
    Tick();
    for (const std::string& agent : agents) {
      if (mRuns[agent].contains(crashing)) {
        ++crashes;
        Crash(agent);
      }
    }
  }
  EXPECT_EQ(mScheduler.Jobs().at(JobId("job")).mPhase, JobPhase::Failed);
  EXPECT_LE(crashes, CrashHistory::kMaxWeight);
}

} // namespace
} // namespace foxtailbarrow::cell::test
