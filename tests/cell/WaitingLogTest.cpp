#include <gtest/gtest.h>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

/// A job that waited with most of the capacity free left no line that says why.
class WaitingLogTest : public CellFixture
{};

TEST_F(WaitingLogTest, SaysWhyAJobRunsNothing)
{
  WorkerState leaving = State("a-life");
  leaving.mInfo.mDraining = true;
  Attach("a", leaving);
  Grant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_FALSE(WasLogged("step-waits"));
  AdvanceClock(milliseconds(2000));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_TRUE(WasLogged("step-waits"));
}

} // namespace

} // namespace foxtailbarrow::cell::test
