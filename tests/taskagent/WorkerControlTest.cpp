#include <algorithm>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/taskagent/WorkerControl.h"
#include "foxtailbarrow/Verdict.h"
#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::milliseconds;

const cell::TaskRef kTask{ JobId("job"), 0, 0, 0 };

/// A worker that runs one task and answers looks when it is let.
class SlowWorker final : public cell::TaskWorker
{
public:
  bool mAnswers = false;
  int mStarts = 0;     ///< Calls.
  bool mLoses = false; ///< Neither does anything nor answers.

  void Expect(const cell::WorkerIncarnation&) override {}

  absl::StatusOr<bool> IsThere(const cell::WorkerIncarnation&,
                               cell::Fence,
                               Duration) override
  {
    return true;
  }

  absl::StatusOr<cell::StartReply> Start(const cell::StartCall&,
                                         Duration) override
  {
    ++mStarts;
    if (mLoses) {
      return Lost();
    }
    return cell::StartReply{};
  }

  absl::Status Stop(const cell::StopCall&, Duration) override
  {
    return absl::OkStatus();
  }

  absl::Status Pace(const cell::PaceCall&, Duration) override
  {
    return absl::OkStatus();
  }

  absl::StatusOr<cell::LookReply> Look(const cell::LookCall&, Duration) override
  {
    while (!mAnswers) {
      boost::this_fiber::sleep_for(milliseconds(1));
    }
    if (mLoses) {
      return Lost();
    }
    cell::LookReply reply;
    reply.mRunning.emplace_back().mTask = kTask;
    return reply;
  }

private:
  static absl::Status Lost()
  {
    return WithVerdict(absl::DeadlineExceededError("timed out"),
                       Verdict::MayHaveRun);
  }
};

/// A worker that looks waited for 0.4 s at, and that came back under another
/// incarnation in the same session, refused all starts meanwhile: the agent had
/// no sample of its clock, and so no lease to give (`task-start-refused
/// reason=no-lease` every 100 ms).
TEST(WorkerControlTest, AWorkerThatCameBackTakesStartsAtOnce)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    SlowWorker worker;
    worker.mAnswers = true;
    WorkerControl control(worker, [] {});
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    control.TakeInfo(info);
    ASSERT_TRUE(control.Attach(1 << 8).ok());
    control.TakeGrant(1 << 8, MonotonicNow(), std::chrono::seconds(3), 0);
    info.mIncarnation = cell::WorkerIncarnation("next");
    control.TakeInfo(info);
    control.Greet();
    cell::OrderRequest orders;
    orders.mSession = 1 << 8;
    orders.mNumber = 1;
    orders.mIncarnation = info.mIncarnation;
    orders.mStarts.emplace_back().mTask = kTask;
    const cell::OrderReply reply = control.CarryOut(orders);
    ASSERT_EQ(reply.mStarts.size(), 1U);
    EXPECT_EQ(reply.mStarts[0].mOutcome, cell::StartOutcome::Started);
  });
}

/// Crashes of a worker are told to owners that did not see what ran there.
TEST(WorkerControlTest, ACrashIsRememberedWithWhatHadJustStarted)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    SlowWorker worker;
    worker.mAnswers = true;
    WorkerControl control(worker, [] {});
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    control.TakeInfo(info);
    ASSERT_TRUE(control.Attach(1 << 8).ok());
    info.mIncarnation = cell::WorkerIncarnation("next");
    control.TakeInfo(info);
    const cell::WorkerState state = control.Snapshot().mState;
    ASSERT_EQ(state.mCrashes.size(), 1U);
    ASSERT_EQ(state.mCrashes[0].mRuns.size(), 1U);
    EXPECT_EQ(state.mCrashes[0].mRuns[0].mTask, kTask);
    info.mDraining = true;
    control.TakeInfo(info);
    info.mIncarnation = cell::WorkerIncarnation("third");
    info.mDraining = false;
    control.TakeInfo(info);
    EXPECT_EQ(control.Snapshot().mState.mCrashes.size(), 1U);
  });
}

struct ShrunkCase
{
  const char* mName;
  std::int64_t mMillicores; ///< Capacity that was told last.
  std::int64_t mRunning;    ///< Reserved by the task that is there.
  int mStarted;             ///< Of four starts of 1000.
};

class ShrunkWorkerTest : public testing::TestWithParam<ShrunkCase>
{};

/// A report of a smaller capacity was on its way to the owner, and orders of
/// the larger one on theirs: the starts brought the worker over it.
TEST_P(ShrunkWorkerTest, GetsNoStartBeyondWhatItToldLast)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    SlowWorker worker;
    worker.mAnswers = true;
    WorkerControl control(worker, [] {});
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    info.mCapacity = { 8000, 8000, 0 };
    control.TakeInfo(info);
    ASSERT_TRUE(control.Attach(1 << 8).ok());
    control.TakeGrant(1 << 8, MonotonicNow(), std::chrono::seconds(3), 0);
    info.mCapacity.mMillicores = GetParam().mMillicores;
    control.TakeInfo(info);
    cell::OrderRequest orders;
    orders.mSession = 1 << 8;
    orders.mNumber = 1;
    orders.mIncarnation = info.mIncarnation;
    orders.mTraits.push_back(
      { kTask, {}, false, "", { GetParam().mRunning, 1000, 0 } });
    for (int index = 1; index <= 4; ++index) {
      cell::StartOrder& start = orders.mStarts.emplace_back();
      start.mTask = { JobId("job"), 0, 0, index };
      start.mReserved = { 1000, 1000, 0 };
    }
    const cell::OrderReply reply = control.CarryOut(orders);
    EXPECT_TRUE(reply.mAccepted);
    const auto started =
      std::ranges::count_if(reply.mStarts, [](const auto& aResult) {
        return aResult.mOutcome == cell::StartOutcome::Started;
      });
    const auto refused =
      std::ranges::count_if(reply.mStarts, [](const auto& aResult) {
        return aResult.mOutcome == cell::StartOutcome::OverCapacity;
      });
    EXPECT_EQ(started, GetParam().mStarted);
    EXPECT_EQ(refused, 4 - GetParam().mStarted);
    EXPECT_EQ(worker.mStarts, GetParam().mStarted);
  });
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ShrunkWorkerTest,
                         testing::Values(ShrunkCase{ "Same", 8000, 1000, 4 },
                                         ShrunkCase{ "Smaller", 3000, 1000, 2 },
                                         ShrunkCase{ "Full", 1000, 1000, 0 },
                                         ShrunkCase{ "Below", 500, 1000, 0 },
                                         ShrunkCase{ "ToZero", 0, 1000, 0 },
                                         ShrunkCase{ "Leftover", 4000, 0, 4 }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

/// On a day with orders that workers carry out late a worker of 96 cores
/// refused every start from then on: what had got no answer was taken for
/// there, though the next session's first look had shown that it was not. Two
/// tasks that last did not run for 30 s, with 15,193 refusals.
TEST(WorkerControlTest, AStartThatIsSettledByTheNextSessionTakesNoRoom)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    SlowWorker worker;
    worker.mAnswers = true;
    WorkerControl control(worker, [] {});
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    info.mCapacity = { 1000, 1000, 0 };
    control.TakeInfo(info);
    ASSERT_TRUE(control.Attach(1 << 8).ok());
    control.TakeGrant(1 << 8, MonotonicNow(), std::chrono::seconds(30), 0);
    cell::OrderRequest orders;
    orders.mSession = 1 << 8;
    orders.mNumber = 1;
    orders.mIncarnation = info.mIncarnation;
    cell::StartOrder& start = orders.mStarts.emplace_back();
    start.mTask = { JobId("late"), 0, 0, 0 };
    start.mReserved = { 1000, 1000, 0 };
    worker.mLoses = true;
    EXPECT_FALSE(control.CarryOut(orders).mAccepted);
    worker.mLoses = false;
    ASSERT_TRUE(control.Attach(2 << 8).ok());
    orders.mSession = 2 << 8;
    start.mTask = { JobId("next"), 0, 0, 0 };
    const cell::OrderReply reply = control.CarryOut(orders);
    ASSERT_EQ(reply.mStarts.size(), 1U);
    EXPECT_EQ(reply.mStarts[0].mOutcome, cell::StartOutcome::Started);
  });
}

TEST(WorkerControlTest, NoSessionIsInForceBeforeTheWorkerWasLookedAt)
{
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] {
    SlowWorker worker;
    WorkerControl control(worker, [] {});
    cell::WorkerInfo info;
    info.mIncarnation = cell::WorkerIncarnation("life");
    control.TakeInfo(info);
    bool attached = false;
    runtime.Spawn([&] {
      const auto state = control.Attach(1 << 8);
      EXPECT_TRUE(state.ok());
      EXPECT_EQ(state->mRunning.size(), 1U);
      attached = true;
    });
    boost::this_fiber::sleep_for(milliseconds(5));
    // A report now would say that nothing runs.
    EXPECT_TRUE(control.Snapshot().mState.mRunning.empty());
    EXPECT_EQ(control.CurrentSession(), 0);
    worker.mAnswers = true;
    while (!attached) {
      boost::this_fiber::sleep_for(milliseconds(1));
    }
    EXPECT_EQ(control.CurrentSession(), 1 << 8);
    EXPECT_EQ(control.Snapshot().mState.mRunning.size(), 1U);
  });
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
