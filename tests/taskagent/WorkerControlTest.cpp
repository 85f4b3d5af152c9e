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
