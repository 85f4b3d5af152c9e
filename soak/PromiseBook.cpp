#include "soak/PromiseBook.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "src/core/cell/WorkerCapacity.h"

namespace foxtailbarrow::soak {

using cell::JobPhase;
using cell::RunEnd;
using cell::TaskRef;
using standin::RunMark;
using standin::RunMoment;

namespace {

/// A task under which so many workers have crashed may be given up.
constexpr int kCrashesToGiveUp = 2;
/// The third start of a task after so many have crashed under it breaks a
/// promise.
constexpr int kCrashesAllowed = 3;
constexpr int kStartsTooMany = 3;

} // namespace

PromiseBook::PromiseBook(Resources aWorkerCapacity)
  : mCapacity(aWorkerCapacity)
{
}

void PromiseBook::Submitting(const cell::JobGraph& aGraph)
{
  mJobs[aGraph.mId].mGraph = aGraph;
}

void PromiseBook::Submitted(const JobId& aJob, Told aTold)
{
  JobFacts& job = mJobs.at(aJob);
  job.mTold = aTold;
  if (aTold == Told::Refused && !job.mTasks.empty()) {
    Break("refused as not run, but it ran: " + aJob.Value());
  }
}

void PromiseBook::Shown(const JobId& aJob, JobPhase aPhase)
{
  JobFacts& job = mJobs.at(aJob);
  const std::string phase(ToString(aPhase));
  if (job.mShown && IsFinal(*job.mShown) && *job.mShown != aPhase) {
    Break("shown as " + phase + " after " + std::string(ToString(*job.mShown)) +
          ": " + aJob.Value());
  }
  if (aPhase == JobPhase::Completed && !AllDone(job)) {
    Break("shown as completed before its last task: " + aJob.Value());
  }
  if (aPhase == JobPhase::Cancelled && !job.mCancelAsked) {
    Break("shown as cancelled without a request: " + aJob.Value());
  }
  if (aPhase == JobPhase::Failed &&
      std::ranges::none_of(job.mTasks, [](const auto& aTask) {
        return aTask.second.mFailed > 0 ||
               aTask.second.mCrashed >= kCrashesToGiveUp;
      })) {
    Break("shown as failed without cause: " + aJob.Value());
  }
  job.mShown = aPhase;
}

void PromiseBook::ShownGone(const JobId& aJob)
{
  if (const JobFacts& job = mJobs.at(aJob);
      job.mTold == Told::Accepted && !job.mCancelAsked) {
    Break("accepted, then unknown: " + aJob.Value());
  }
}

void PromiseBook::Mark(const std::string& aIncarnation, const RunMark& aMark)
{
  if (aMark.mMoment == RunMoment::LeaseLapsed) {
    LeaseLapsed(aIncarnation);
    return;
  }
  const auto found = mJobs.find(aMark.mTask.mJob);
  if (found == mJobs.end()) {
    Break("nobody asked for " + ToString(aMark.mTask));
    return;
  }
  JobFacts& job = found->second;
  if (aMark.mMoment == RunMoment::Started) {
    Started(aIncarnation, aMark, job);
    return;
  }
  if (aMark.mMoment == RunMoment::OverTarget) {
    OverTarget(aIncarnation, aMark);
    return;
  }
  TaskFacts& task = job.mTasks[aMark.mTask];
  if (aMark.mMoment == RunMoment::Acknowledged) {
    Noted(aIncarnation, aMark, task);
    return;
  }
  task.mLive.erase(aIncarnation);
  mUsed[aIncarnation] -=
    cell::Reservation(job.mGraph.mSteps[aMark.mTask.mStep]);
  task.mCrashed += aMark.mMoment == RunMoment::Lost ? 1 : 0;
  if (aMark.mMoment == RunMoment::Ended) {
    if (aMark.mEnd == RunEnd::Done) {
      task.mDone = true;
      task.mDoneRuns[{ aIncarnation, aMark.mRun }] = false;
    }
    task.mFailed += aMark.mEnd == RunEnd::Failed ? 1 : 0;
  }
}

void PromiseBook::OverTarget(const std::string& aIncarnation,
                             const RunMark& aMark)
{
  ++mOverTarget;
  if (!mFaultTimes || mFaultTimes->Protected(aIncarnation, aMark.mAt)) {
    Break("over its target by what runs beside it: " + ToString(aMark.mTask));
  }
}

/// Ends that were not noted before do not count any more.
void PromiseBook::LeaseLapsed(const std::string& aIncarnation)
{
  for (auto& [id, job] : mJobs) {
    for (auto& [ref, task] : job.mTasks) {
      std::erase_if(task.mDoneRuns, [&](const auto& aRun) {
        return aRun.first.first == aIncarnation;
      });
    }
  }
}

void PromiseBook::Noted(const std::string& aIncarnation,
                        const RunMark& aMark,
                        TaskFacts& aTask)
{
  const auto done = aTask.mDoneRuns.find({ aIncarnation, aMark.mRun });
  if (aMark.mEnd != RunEnd::Done || done == aTask.mDoneRuns.end()) {
    return;
  }
  if (done->second) {
    Break("started again after an end that counts: " + ToString(aMark.mTask));
  }
  aTask.mNoted = true;
}

void PromiseBook::Started(const std::string& aIncarnation,
                          const RunMark& aMark,
                          JobFacts& aJob)
{
  ++mStarts;
  const std::string name =
    ToString(aMark.mTask) + " run " + std::to_string(aMark.mRun);
  TaskFacts& task = aJob.mTasks[aMark.mTask];
  if (aMark.mPayload != aJob.mGraph.mPayload) {
    Break("another payload: " + name);
  }
  if (aJob.mTold == Told::Refused) {
    Break("refused as not run, but it runs: " + name);
  }
  for (const auto& [incarnation, run] : task.mLive) {
    Break(absl::StrCat("two runs at a time: ",
                       name,
                       " on ",
                       aIncarnation,
                       ", run ",
                       run,
                       " on ",
                       incarnation));
  }
  if (task.mNoted || aJob.mShown == JobPhase::Completed) {
    Break("started again after its end was noted: " + name);
  }
  if (task.mCrashed >= kCrashesAllowed &&
      standin::ParseTaskProgram(aJob.mGraph.mPayload).mCrashes &&
      ++task.mStartsAfter >= kStartsTooMany) {
    Break("started again and again under crashes: " + name);
  }
  for (auto& [run, followed] : task.mDoneRuns) {
    followed = true;
  }
  CheckOrder(aJob, aMark.mTask);
  task.mLive[aIncarnation] = aMark.mRun;
  mUsed[aIncarnation] +=
    cell::Reservation(aJob.mGraph.mSteps[aMark.mTask.mStep]);
  CheckCapacity(aIncarnation, aMark);
}

void PromiseBook::CheckOrder(const JobFacts& aJob, const TaskRef& aTask)
{
  for (const std::int32_t before : aJob.mGraph.mSteps[aTask.mStep].mAfter) {
    if (!StepDone(aJob, before)) {
      Break("before the step that it waits for: " + ToString(aTask));
    }
  }
}

void PromiseBook::Beat(const standin::BeatMark& aMark, Instant aNow)
{
  ToldCapacity& told = ToldOf(aMark.mIncarnation);
  if (aMark.mAnswered) {
    told.Answered(aMark.mSequence, aNow);
  } else {
    told.Sent(aMark.mSequence, aMark.mCapacity);
  }
}

ToldCapacity& PromiseBook::ToldOf(const std::string& aIncarnation)
{
  return mTold.try_emplace(aIncarnation, mCapacity).first->second;
}

/// An order that the worker itself held up is no more the agent's.
void PromiseBook::CheckCapacity(const std::string& aIncarnation,
                                const RunMark& aMark)
{
  if (!aMark.mLate &&
      !ToldOf(aIncarnation).Allows(mUsed[aIncarnation], aMark.mAt)) {
    Break("over the capacity of " + aIncarnation);
  }
}

bool PromiseBook::StepDone(const JobFacts& aJob, std::int32_t aStep) const
{
  const auto done = std::ranges::count_if(aJob.mTasks, [&](const auto& aTask) {
    return aTask.first.mStep == aStep && aTask.second.mDone;
  });
  return done == aJob.mGraph.mSteps[aStep].mReplicas;
}

bool PromiseBook::AllDone(const JobFacts& aJob) const
{
  const auto steps = static_cast<std::int32_t>(aJob.mGraph.mSteps.size());
  for (std::int32_t step = 0; step < steps; ++step) {
    if (!StepDone(aJob, step)) {
      return false;
    }
  }
  return true;
}

std::string PromiseBook::MissingOf(const JobFacts& aJob) const
{
  const auto live = std::ranges::count_if(
    aJob.mTasks, [](const auto& aTask) { return !aTask.second.mLive.empty(); });
  if (aJob.mCancelled) {
    return live > 0 ? "still runs although cancelled" : "";
  }
  if (aJob.mTold != Told::Accepted || aJob.mCancelAsked) {
    return "";
  }
  const auto program = standin::ParseTaskProgram(aJob.mGraph.mPayload);
  if (program.mStands) {
    return live == aJob.mGraph.mSteps[0].mReplicas ? "" : "is not all at work";
  }
  const JobPhase wanted =
    program.mFails || program.mCrashes ? JobPhase::Failed : JobPhase::Completed;
  // A worker that fails all may have used up the attempts of a sound job.
  const bool ended =
    aJob.mShown && (*aJob.mShown == wanted || *aJob.mShown == JobPhase::Failed);
  return ended ? "" : "has not ended";
}

std::vector<std::string> PromiseBook::Missing() const
{
  std::vector<std::string> missing;
  for (const auto& [id, job] : mJobs) {
    if (std::string what = MissingOf(job); !what.empty()) {
      missing.push_back(id.Value() + " " + what);
    }
  }
  return missing;
}

std::size_t PromiseBook::Accepted() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mJobs, [](const auto& aJob) {
      return aJob.second.mTold == Told::Accepted;
    }));
}

} // namespace foxtailbarrow::soak
