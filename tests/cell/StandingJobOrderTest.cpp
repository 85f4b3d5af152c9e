// Guards the order of standing jobs: tasks of an old standing job that were
// lost with their worker must not wait behind every newer job.

#include <algorithm>
#include <set>
#include <string>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr std::int64_t kHalfWorker = 4000; ///< Millicores.

struct NewerJob
{
  const char* mName;
  std::int32_t mReplicas;
  bool mStanding;
  std::size_t mOldStarts; ///< Of two tasks of the old job.
};

class StandingJobOrderTest
  : public CellFixture
  , public testing::WithParamInterface<NewerJob>
{
protected:
  /// A standing job uses the whole worker for a minute, and is lost with it.
  void LoseWorkerOfStandingJob()
  {
    StepSpec step = Step(2, kHalfWorker);
    step.mStanding = true;
    AttachAndGrant("a");
    AddSavedJob(Graph("old", { step }));
    const OrderRequest orders = Orders("a");
    ASSERT_EQ(orders.mStarts.size(), 2U);
    Started("a", orders);
    std::vector<RunningTask> running;
    for (const StartOrder& start : orders.mStarts) {
      running.push_back(Running(start.mTask, start.mRun));
    }
    AdvanceClock(seconds(60));
    Report("a", State("a-life", running));
    Report("a", State("a-next"));
    SaveProgress();
    Grant("a");
  }
};

/// Batch work that can be on time still comes first.
TEST_P(StandingJobOrderTest, LostTasksComeBeforeNewerStandingJobs)
{
  LoseWorkerOfStandingJob();
  StepSpec step = Step(GetParam().mReplicas, kHalfWorker);
  step.mStanding = GetParam().mStanding;
  AddSavedJob(Graph("newer", { step }));
  std::multiset<JobId> started;
  for (const StartOrder& start : Orders("a").mStarts) {
    started.insert(start.mTask.mJob);
  }
  EXPECT_EQ(started.size(), 2U);
  EXPECT_EQ(started.count(JobId("old")), GetParam().mOldStarts);
}

INSTANTIATE_TEST_SUITE_P(
  Newer,
  StandingJobOrderTest,
  testing::Values(NewerJob{ "StandingJob", 1, true, 2 },
                  NewerJob{ "WideStandingJob", 20, true, 2 },
                  NewerJob{ "BatchJob", 1, false, 1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
