#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

/// The phase of a job that callers are shown.
class ShownPhaseTest : public CellFixture
{};

TEST_F(ShownPhaseTest, AJobIsShownAsCompletedAfterItsRecord)
{
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  Report("a",
         State("a-life",
               {},
               { Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Running);
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

TEST_F(ShownPhaseTest, OnlyTheStoreTellsAnEndWhoseRecordIsInDoubt)
{
  const JobId job("job");
  AttachAndGrant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const OrderRequest orders = Orders("a");
  Started("a", orders);
  Report("a",
         State("a-life",
               {},
               { Ended(1, kFirst, orders.mStarts[0].mRun, RunEnd::Done) }));
  EXPECT_EQ(mScheduler.PhaseOf(job), JobPhase::Running);
  mScheduler.OnProgressSaveInDoubt(job);
  EXPECT_EQ(mScheduler.PhaseOf(job), std::nullopt);
  mScheduler.SetProgressRevision(job, 200);
  EXPECT_EQ(mScheduler.PhaseOf(job), std::nullopt);
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(job), JobPhase::Completed);
}

TEST_F(ShownPhaseTest, AJobIsShownAsCancelledAfterItsRecord)
{
  AddSavedJob(Graph("job", { Step(1) }));
  mScheduler.CancelJob(JobId("job"), Clock());
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Running);
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Cancelled);
}

} // namespace

} // namespace foxtailbarrow::cell::test
