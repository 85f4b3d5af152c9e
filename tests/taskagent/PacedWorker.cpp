#include "tests/taskagent/PacedWorker.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::taskagent::test {

absl::Status PacedWorker::TakeFence(cell::Fence aFence)
{
  if (aFence < mFence) {
    return WithVerdict(absl::FailedPreconditionError("fence"), Verdict::NotRun);
  }
  mFence = aFence;
  return absl::OkStatus();
}

void PacedWorker::Apply(const cell::PaceCall& aCall)
{
  if (const auto task = mTasks.find(aCall.mTask); task != mTasks.end()) {
    task->second.mPace = aCall.mPercent;
  }
}

void PacedWorker::CarryOutLate()
{
  for (const cell::PaceCall& call : mLate) {
    if (TakeFence(call.mFence).ok()) {
      Apply(call);
    }
  }
  mLate.clear();
}

absl::StatusOr<cell::StartReply> PacedWorker::Start(
  const cell::StartCall& aCall,
  Duration)
{
  if (const absl::Status status = TakeFence(aCall.mFence); !status.ok()) {
    return status;
  }
  mTasks[aCall.mTask].mRun = aCall.mRun;
  return cell::StartReply{};
}

absl::Status PacedWorker::Stop(const cell::StopCall& aCall, Duration)
{
  mTasks.erase(aCall.mTask);
  return TakeFence(aCall.mFence);
}

absl::Status PacedWorker::Pace(const cell::PaceCall& aCall, Duration)
{
  mMostPacesAtOnce = std::max(mMostPacesAtOnce, ++mPacesAtOnce);
  if (mPaceTakes > Duration::zero()) {
    boost::this_fiber::sleep_for(mPaceTakes);
  }
  --mPacesAtOnce;
  if (mLosesPaces) {
    mLate.push_back(aCall);
    return WithVerdict(absl::DeadlineExceededError("timed out"),
                       Verdict::MayHaveRun);
  }
  if (const absl::Status status = TakeFence(aCall.mFence); !status.ok()) {
    return status;
  }
  Apply(aCall);
  return absl::OkStatus();
}

absl::StatusOr<cell::LookReply> PacedWorker::Look(const cell::LookCall& aCall,
                                                  Duration)
{
  if (const absl::Status status = TakeFence(aCall.mFence); !status.ok()) {
    return status;
  }
  cell::LookReply reply;
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
