#include "tests/taskagent/ThrottledWorker.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::taskagent::test {

absl::Status ThrottledWorker::AcceptFence(cell::Fence aFence)
{
  if (aFence < mFence) {
    return WithVerdict(absl::FailedPreconditionError("fence"), Verdict::NotRun);
  }
  mFence = aFence;
  return absl::OkStatus();
}

void ThrottledWorker::Apply(const cell::ThrottleCall& aCall)
{
  if (const auto task = mTasks.find(aCall.mTask); task != mTasks.end()) {
    task->second.mThrottle = aCall.mPercent;
  }
}

void ThrottledWorker::ApplyLate()
{
  for (const cell::ThrottleCall& call : mLate) {
    if (AcceptFence(call.mFence).ok()) {
      Apply(call);
    }
  }
  mLate.clear();
}

absl::StatusOr<cell::StartReply> ThrottledWorker::Start(
  const cell::StartCall& aCall,
  Duration)
{
  if (const absl::Status status = AcceptFence(aCall.mFence); !status.ok()) {
    return status;
  }
  mTasks[aCall.mTask].mRun = aCall.mRun;
  return cell::StartReply{};
}

absl::Status ThrottledWorker::Stop(const cell::StopCall& aCall, Duration)
{
  mTasks.erase(aCall.mTask);
  return AcceptFence(aCall.mFence);
}

absl::Status ThrottledWorker::Throttle(const cell::ThrottleCall& aCall,
                                       Duration)
{
  mMaxConcurrentThrottles =
    std::max(mMaxConcurrentThrottles, ++mConcurrentThrottles);
  if (mThrottleDelay > Duration::zero()) {
    boost::this_fiber::sleep_for(mThrottleDelay);
  }
  --mConcurrentThrottles;
  if (mDropsThrottles) {
    mLate.push_back(aCall);
    return WithVerdict(absl::DeadlineExceededError("timed out"),
                       Verdict::MayHaveRun);
  }
  if (const absl::Status status = AcceptFence(aCall.mFence); !status.ok()) {
    return status;
  }
  Apply(aCall);
  return absl::OkStatus();
}

absl::StatusOr<cell::PollReply> ThrottledWorker::Poll(
  const cell::PollCall& aCall,
  Duration)
{
  if (const absl::Status status = AcceptFence(aCall.mFence); !status.ok()) {
    return status;
  }
  cell::PollReply reply;
  for (const auto& [ref, task] : mTasks) {
    cell::RunningTask& running = reply.mRunning.emplace_back();
    running.mTask = ref;
    running.mRun = task.mRun;
    running.mPercent = 100;
    running.mFigure = task.mFigure;
  }
  return reply;
}

} // namespace foxtailbarrow::taskagent::test
