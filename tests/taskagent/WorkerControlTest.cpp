#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/taskagent/WorkerControl.h"
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
    cell::LookReply reply;
    reply.mRunning.emplace_back().mTask = kTask;
    return reply;
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
