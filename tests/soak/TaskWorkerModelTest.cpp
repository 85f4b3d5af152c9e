#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "standins/taskworker/TaskWorkerModel.h"

namespace foxtailbarrow::standin::test {

namespace {

using cell::RunEnd;
using cell::StartOutcome;
using std::chrono::milliseconds;

const cell::TaskRef kTask{ JobId("job"), 0, 0, 0 };

class TaskWorkerModelTest : public testing::Test
{
protected:
  StartOutcome Start(cell::RunNumber aRun,
                     cell::Fence aFence = 1,
                     const std::string& aPayload = "work=300",
                     milliseconds aLease = milliseconds(2000))
  {
    return mWorker.Start({ kTask,
                           aRun,
                           aPayload,
                           {},
                           {},
                           mWorker.Clock(mNow) + aLease.count(),
                           aFence },
                         mNow);
  }

  RunEnd LastEnd()
  {
    mWorker.Advance(mNow);
    return mWorker.View(mNow).mEnded.back().mEnd;
  }

  Instant mNow{ std::chrono::seconds(100) };
  std::vector<RunEvent> mEvents;
  TaskWorkerModel mWorker{ {}, mNow, [this](const RunEvent& aEvent) {
                            mEvents.push_back(aEvent);
                          } };
};

TEST_F(TaskWorkerModelTest, ATaskEndsWhenItsWorkIsDone)
{
  EXPECT_EQ(Start(1), StartOutcome::Started);
  mNow += milliseconds(299);
  mWorker.Advance(mNow);
  EXPECT_EQ(mWorker.View(mNow).mRunning.size(), 1U);
  mNow += milliseconds(1);
  EXPECT_EQ(LastEnd(), RunEnd::Done);
}

TEST_F(TaskWorkerModelTest, AllTasksEndWithTheLease)
{
  Start(1, 1, "stands", milliseconds(500));
  mNow += milliseconds(500);
  EXPECT_EQ(LastEnd(), RunEnd::LeaseExpired);
  EXPECT_EQ(mEvents[1].mKind, RunEventKind::LeaseLapsed);
}

TEST_F(TaskWorkerModelTest, LeasesAreCappedAtTheMaximum)
{
  Start(1, 1, "stands", milliseconds(60'000));
  mNow += TaskWorkerSettings().mMaxLease;
  EXPECT_EQ(LastEnd(), RunEnd::LeaseExpired);
}

TEST_F(TaskWorkerModelTest, ALowerFenceDoesNothing)
{
  EXPECT_EQ(Start(1, 7), StartOutcome::Started);
  EXPECT_EQ(Start(2, 6), StartOutcome::NotStarted);
  EXPECT_FALSE(mWorker.Stop({ kTask, 1, 6 }, mNow));
  EXPECT_FALSE(mWorker.Poll({ 6, 0, {}, {} }, mNow));
}

TEST_F(TaskWorkerModelTest, ARunThatWasStoppedBeforeItsStartIsRejected)
{
  EXPECT_TRUE(mWorker.Stop({ kTask, 3, 1 }, mNow));
  EXPECT_EQ(Start(3), StartOutcome::StaleRun);
  EXPECT_EQ(Start(4), StartOutcome::Started);
}

TEST_F(TaskWorkerModelTest, EndsAreListedUntilAcknowledged)
{
  Start(1, 1, "fails=100");
  mNow += milliseconds(100);
  EXPECT_EQ(LastEnd(), RunEnd::Failed);
  EXPECT_TRUE(mWorker.Poll({ 1, 1, {}, {} }, mNow));
  EXPECT_TRUE(mWorker.View(mNow).mEnded.empty());
  EXPECT_EQ(mEvents.back().mKind, RunEventKind::Acknowledged);
}

TEST_F(TaskWorkerModelTest, AStoppedTaskResumesFromItsCheckpoint)
{
  Start(1, 1, "work=600");
  mNow += milliseconds(250);
  mWorker.Stop({ kTask, 1, 1 }, mNow);
  mNow += TaskWorkerSettings().mStopTime;
  mWorker.Advance(mNow);
  const std::string saved = mWorker.View(mNow).mEnded.back().mCheckpoint;
  EXPECT_EQ(saved, "400");
  mWorker.Start(
    { kTask, 2, "work=600", saved, {}, mWorker.Clock(mNow) + 1000, 1 }, mNow);
  mNow += milliseconds(200);
  EXPECT_EQ(LastEnd(), RunEnd::Done);
}

} // namespace

} // namespace foxtailbarrow::standin::test
