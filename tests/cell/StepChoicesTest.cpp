#include <random>
#include <string>

#include <gtest/gtest.h>

#include "src/core/cell/placing/StepChoices.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::seconds;

enum class Kind : std::uint8_t
{
  Short,
  Standing,
  BestEffort,
  OnOneRack,
};

struct StepChoicesCase
{
  const char* mName;
  Kind mKind;
  std::int32_t mMaxPerWorker;
  bool mStarving;
  /// Every fourth task has failed on a worker, or is suspected of crashes.
  bool mUnalike;
};

/// Workers with different uses and one step to place on them.
class Cell
{
public:
  Cell(const StepChoicesCase& aCase, int aWorkers, int aTasks, unsigned aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < aWorkers; ++i) {
      AddWorker(i);
    }
    mJob.mPolicy.mService = ServiceId("service");
    mJob.mStored.mGraph.mId = JobId("job");
    mJob.mStored.mGraph.mSteps = { Step(aCase, aTasks) };
    StepEntry& step = mJob.Open(0).mSteps.front();
    for (int i = 0; aCase.mUnalike && i < aTasks; i += 4) {
      step.Touch(i).mFailedOn = { WorkerId(i % 3) };
    }
    mView.mStarving = aCase.mStarving;
  }

  const PlacementView& View() const { return mView; }
  JobEntry& Job() { return mJob; }
  std::size_t Workers() const { return mWorkers.size(); }

  void Start(const TaskRef& aTask, const AgentId& aAgent)
  {
    const StepSpec& spec = mJob.Spec(aTask);
    WorkerEntry& worker = mWorkers.at(aAgent);
    if (spec.mBestEffort) {
      worker.mUse.mBestEffort += spec.mDemand.mMillicores;
      worker.mUse.mBestEffortByImage[spec.mImage] += spec.mDemand.mMillicores;
    }
    worker.mUse.mReserved = worker.mUse.mReserved + Reservation(spec);
    worker.mRuns[aTask] = 1;
    mJob.Touch(aTask).mRuns.push_back({ .mAgent = aAgent, .mNumber = 1 });
  }

private:
  static AgentId WorkerId(int aNumber)
  {
    return AgentId("agent" + std::to_string(aNumber));
  }

  static StepSpec Step(const StepChoicesCase& aCase, int aTasks)
  {
    StepSpec step;
    step.mReplicas = aTasks;
    step.mDemand = { 2800, 4000, 0 };
    step.mImage = "image";
    step.mMaxPerWorker = aCase.mMaxPerWorker;
    step.mStanding = aCase.mKind == Kind::Standing;
    step.mBestEffort = aCase.mKind == Kind::BestEffort;
    step.mSameRack = aCase.mKind == Kind::OnOneRack;
    return step;
  }

  void AddWorker(int aNumber)
  {
    WorkerEntry& worker = mWorkers[WorkerId(aNumber)];
    worker.mId = WorkerId(aNumber);
    worker.mLink = WorkerLink::Attached;
    worker.mGrantedUntil = mView.mNow + seconds(100);
    worker.mInfo.mIncarnation = WorkerIncarnation(worker.mId.Value());
    worker.mInfo.mService = ServiceId(mRandom() % 9 == 0 ? "other" : "service");
    worker.mInfo.mRack = RackId("rack" + std::to_string(aNumber / 4));
    worker.mInfo.mCapacity = { 16'000, 64'000, 0 };
    // Several workers have the same use, so that scores are equal.
    worker.mUse.mReserved = { static_cast<std::int64_t>(mRandom() % 5) * 3000,
                              8000,
                              0 };
  }

  std::mt19937 mRandom;
  WorkerTable mWorkers;
  InterferenceEstimator mInterference;
  CellSettings mSettings;
  CrashTrials mTrials;
  PlacementView mView{ mWorkers,
                       mInterference,
                       mSettings,
                       mTrials,
                       Instant(seconds(1000)) };
  JobEntry mJob;
};

class StepChoicesTest : public testing::TestWithParam<StepChoicesCase>
{};

/// Kept scores must not change where tasks are placed.
TEST_P(StepChoicesTest, AreThoseOfAPassOverAllWorkers)
{
  constexpr unsigned kSeeds = 20;
  constexpr int kWorkers = 24;
  constexpr int kTasks = 60;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Cell cell(GetParam(), kWorkers, kTasks, seed);
    StepChoices choices;
    int placed = 0;
    for (std::int32_t i = 0; i < kTasks; ++i) {
      const TaskRef task{ JobId("job"), 0, 0, i };
      const auto chosen = choices.Choose(cell.View(), cell.Job(), task);
      ASSERT_EQ(chosen, ChooseWorker(cell.View(), cell.Job(), task))
        << "seed " << seed << ", task " << i;
      // Every seventh start is put off, as when it must be saved first.
      if (chosen && i % 7 != 3) {
        cell.Start(task, *chosen);
        ++placed;
      }
    }
    EXPECT_GT(placed, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  StepChoicesTest,
  testing::Values(
    StepChoicesCase{ "Short", Kind::Short, 0, false, false },
    StepChoicesCase{ "ShortSpread", Kind::Short, 2, false, false },
    StepChoicesCase{ "ShortUnalike", Kind::Short, 1, false, true },
    StepChoicesCase{ "Standing", Kind::Standing, 0, false, false },
    StepChoicesCase{ "BestEffort", Kind::BestEffort, 0, false, false },
    StepChoicesCase{ "BestEffortStarving", Kind::BestEffort, 0, true, true },
    StepChoicesCase{ "OnOneRack", Kind::OnOneRack, 0, false, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct PlacingCostCase
{
  int mWorkers;
  int mTasks;
};

class PlacingCostTest : public testing::TestWithParam<PlacingCostCase>
{};

/// A step of 40 tasks was scored 40 times on each worker: a round took eight
/// times as long on a cell of twice the size.
TEST_P(PlacingCostTest, IsASumOfWorkersAndTasks)
{
  const auto& [workers, tasks] = GetParam();
  Cell cell({ "Short", Kind::Short, 0, false, false }, workers, tasks, 1);
  StepChoices choices;
  for (std::int32_t i = 0; i < tasks; ++i) {
    const TaskRef task{ JobId("job"), 0, 0, i };
    if (const auto chosen = choices.Choose(cell.View(), cell.Job(), task)) {
      cell.Start(task, *chosen);
    }
  }
  EXPECT_LE(choices.Evaluations(), static_cast<std::size_t>(workers + tasks));
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         PlacingCostTest,
                         testing::Values(PlacingCostCase{ 100, 40 },
                                         PlacingCostCase{ 800, 40 },
                                         PlacingCostCase{ 1600, 40 },
                                         PlacingCostCase{ 1600, 80 }));

} // namespace

} // namespace foxtailbarrow::cell::test
