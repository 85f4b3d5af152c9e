#include "soak/PromiseChecker.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "src/core/cell/workers/WorkerCapacity.h"

namespace foxtailbarrow::soak {

using cell::JobPhase;
using cell::RunEnd;
using cell::TaskRef;
using standin::RunEvent;
using standin::RunEventKind;

namespace {

/// A task may be failed once it was running on this many crashed workers.
constexpr int kCrashesToFail = 2;
/// After this many crashes a crashing task may be started two more times; the
/// kForbiddenStart-th start is a violation.
constexpr int kMaxCrashes = 3;
constexpr int kForbiddenStart = 3;

} // namespace

PromiseChecker::PromiseChecker(Resources aWorkerCapacity)
  : mCapacity(aWorkerCapacity)
{
}

void PromiseChecker::OnSubmitting(const cell::JobGraph& aGraph)
{
  mJobs[aGraph.mId].mGraph = aGraph;
}

void PromiseChecker::OnSubmitted(const JobId& aJob, SubmitOutcome aOutcome)
{
  JobFacts& job = mJobs.at(aJob);
  job.mOutcome = aOutcome;
  if (aOutcome == SubmitOutcome::Refused && !job.mTasks.empty()) {
    AddViolation("refused as not run, but ran: " + aJob.Value());
  }
}

void PromiseChecker::OnPhaseShown(const JobId& aJob, JobPhase aPhase)
{
  JobFacts& job = mJobs.at(aJob);
  const std::string phase(ToString(aPhase));
  if (job.mLastPhase && IsFinal(*job.mLastPhase) && *job.mLastPhase != aPhase) {
    AddViolation("shown as " + phase + " after " +
                 std::string(ToString(*job.mLastPhase)) + ": " + aJob.Value());
  }
  if (aPhase == JobPhase::Completed && !AreAllStepsDone(job)) {
    AddViolation("shown as completed before its last task: " + aJob.Value());
  }
  if (aPhase == JobPhase::Cancelled && !job.mCancelRequested) {
    AddViolation("shown as cancelled without a request: " + aJob.Value());
  }
  if (aPhase == JobPhase::Failed &&
      std::ranges::none_of(job.mTasks, [](const auto& aTask) {
        return aTask.second.mFailed > 0 ||
               aTask.second.mCrashed >= kCrashesToFail;
      })) {
    AddViolation("shown as failed without a failure: " + aJob.Value());
  }
  job.mLastPhase = aPhase;
}

void PromiseChecker::OnUnknownJob(const JobId& aJob)
{
  if (const JobFacts& job = mJobs.at(aJob);
      job.mOutcome == SubmitOutcome::Accepted && !job.mCancelRequested) {
    AddViolation("accepted, then unknown: " + aJob.Value());
  }
}

void PromiseChecker::OnRunEvent(const std::string& aIncarnation,
                                const RunEvent& aEvent)
{
  if (aEvent.mKind == RunEventKind::LeaseLapsed) {
    OnLeaseLapsed(aIncarnation);
    return;
  }
  const auto found = mJobs.find(aEvent.mTask.mJob);
  if (found == mJobs.end()) {
    AddViolation("run of an unknown job: " + ToString(aEvent.mTask));
    return;
  }
  JobFacts& job = found->second;
  if (aEvent.mKind == RunEventKind::Started) {
    OnStarted(aIncarnation, aEvent, job);
    return;
  }
  if (aEvent.mKind == RunEventKind::OverTarget) {
    OnOverTarget(aIncarnation, aEvent);
    return;
  }
  TaskFacts& task = job.mTasks[aEvent.mTask];
  if (aEvent.mKind == RunEventKind::Acknowledged) {
    OnAcknowledged(aIncarnation, aEvent, task);
    return;
  }
  task.mLive.erase(aIncarnation);
  mUsed[aIncarnation] -=
    cell::Reservation(job.mGraph.mSteps[aEvent.mTask.mStep]);
  task.mCrashed += aEvent.mKind == RunEventKind::Lost ? 1 : 0;
  if (aEvent.mKind == RunEventKind::Ended) {
    if (aEvent.mEnd == RunEnd::Done) {
      task.mDone = true;
      task.mDoneRuns[{ aIncarnation, aEvent.mRun }] = false;
    }
    task.mFailed += aEvent.mEnd == RunEnd::Failed ? 1 : 0;
  }
}

void PromiseChecker::OnOverTarget(const std::string& aIncarnation,
                                  const RunEvent& aEvent)
{
  ++mOverTarget;
  if (!mFaultTimeline ||
      mFaultTimeline->IsProtected(aIncarnation, aEvent.mAt)) {
    AddViolation("over its latency target by colocated tasks: " +
                 ToString(aEvent.mTask));
  }
}

/// Ends that were not acknowledged before the lapse no longer count.
void PromiseChecker::OnLeaseLapsed(const std::string& aIncarnation)
{
  for (auto& [id, job] : mJobs) {
    for (auto& [ref, task] : job.mTasks) {
      std::erase_if(task.mDoneRuns, [&](const auto& aRun) {
        return aRun.first.first == aIncarnation;
      });
    }
  }
}

void PromiseChecker::OnAcknowledged(const std::string& aIncarnation,
                                    const RunEvent& aEvent,
                                    TaskFacts& aTask)
{
  const auto done = aTask.mDoneRuns.find({ aIncarnation, aEvent.mRun });
  if (aEvent.mEnd != RunEnd::Done || done == aTask.mDoneRuns.end()) {
    return;
  }
  if (done->second) {
    AddViolation("started again after a valid end: " + ToString(aEvent.mTask));
  }
  aTask.mAcknowledged = true;
}

void PromiseChecker::OnStarted(const std::string& aIncarnation,
                               const RunEvent& aEvent,
                               JobFacts& aJob)
{
  ++mStarts;
  const std::string name =
    ToString(aEvent.mTask) + " run " + std::to_string(aEvent.mRun);
  TaskFacts& task = aJob.mTasks[aEvent.mTask];
  if (aEvent.mPayload != aJob.mGraph.mPayload) {
    AddViolation("wrong payload: " + name);
  }
  if (aJob.mOutcome == SubmitOutcome::Refused) {
    AddViolation("refused as not run, but runs: " + name);
  }
  for (const auto& [incarnation, run] : task.mLive) {
    AddViolation(absl::StrCat("two concurrent runs: ",
                              name,
                              " on ",
                              aIncarnation,
                              ", run ",
                              run,
                              " on ",
                              incarnation));
  }
  if (task.mAcknowledged || aJob.mLastPhase == JobPhase::Completed) {
    AddViolation("started again after its end was acknowledged: " + name);
  }
  if (task.mCrashed >= kMaxCrashes &&
      standin::ParseTaskProgram(aJob.mGraph.mPayload).mCrashes &&
      ++task.mStartsAfterCrashes >= kForbiddenStart) {
    AddViolation("started too often after crashes: " + name);
  }
  for (auto& [run, followed] : task.mDoneRuns) {
    followed = true;
  }
  CheckOrder(aJob, aEvent.mTask);
  CheckCordon(aIncarnation, aEvent);
  task.mLive[aIncarnation] = aEvent.mRun;
  mUsed[aIncarnation] +=
    cell::Reservation(aJob.mGraph.mSteps[aEvent.mTask.mStep]);
  CheckCapacity(aIncarnation, aEvent);
}

/// The agent does not answer for a start that the worker itself delayed.
void PromiseChecker::CheckCordon(const std::string& aIncarnation,
                                 const RunEvent& aEvent)
{
  const auto cordon = mCordons.find(mFailureDomains[aIncarnation]);
  if (aEvent.mLate || cordon == mCordons.end()) {
    return;
  }
  const bool binds =
    mFaultTimeline
      ? mFaultTimeline->CordonBinds(aIncarnation, cordon->second, aEvent.mAt)
      : aEvent.mAt - cordon->second > kCordonTime;
  if (binds) {
    AddViolation(absl::StrCat("started in a cordoned failure domain: ",
                              ToString(aEvent.mTask),
                              " on ",
                              aIncarnation));
  }
}

void PromiseChecker::CheckOrder(const JobFacts& aJob, const TaskRef& aTask)
{
  for (const std::int32_t before : aJob.mGraph.mSteps[aTask.mStep].mAfter) {
    if (!IsStepDone(aJob, before)) {
      AddViolation("started before the step it depends on: " + ToString(aTask));
    }
  }
}

void PromiseChecker::OnHeartbeat(const standin::HeartbeatEvent& aEvent,
                                 Instant aNow)
{
  mFailureDomains[aEvent.mIncarnation] = aEvent.mFailureDomain;
  ReportedCapacity& reported = ReportedCapacityOf(aEvent.mIncarnation);
  if (aEvent.mAnswered) {
    reported.OnAnswered(aEvent.mSequence, aNow);
  } else {
    reported.OnSent(aEvent.mSequence, aEvent.mCapacity);
  }
}

ReportedCapacity& PromiseChecker::ReportedCapacityOf(
  const std::string& aIncarnation)
{
  return mReportedCapacities.try_emplace(aIncarnation, mCapacity).first->second;
}

/// The agent does not answer for a start that the worker itself delayed.
void PromiseChecker::CheckCapacity(const std::string& aIncarnation,
                                   const RunEvent& aEvent)
{
  if (!aEvent.mLate && !ReportedCapacityOf(aIncarnation)
                          .Allows(mUsed[aIncarnation], aEvent.mAt)) {
    AddViolation("over the capacity of " + aIncarnation);
  }
}

bool PromiseChecker::IsStepDone(const JobFacts& aJob, std::int32_t aStep) const
{
  const auto done = std::ranges::count_if(aJob.mTasks, [&](const auto& aTask) {
    return aTask.first.mStep == aStep && aTask.second.mDone;
  });
  return done == aJob.mGraph.mSteps[aStep].mReplicas;
}

bool PromiseChecker::AreAllStepsDone(const JobFacts& aJob) const
{
  const auto steps = static_cast<std::int32_t>(aJob.mGraph.mSteps.size());
  for (std::int32_t step = 0; step < steps; ++step) {
    if (!IsStepDone(aJob, step)) {
      return false;
    }
  }
  return true;
}

std::string PromiseChecker::MissingOf(const JobFacts& aJob) const
{
  const auto live = std::ranges::count_if(
    aJob.mTasks, [](const auto& aTask) { return !aTask.second.mLive.empty(); });
  if (aJob.mCancelled) {
    return live > 0 ? "still runs after its cancellation" : "";
  }
  if (aJob.mOutcome != SubmitOutcome::Accepted || aJob.mCancelRequested) {
    return "";
  }
  const auto program = standin::ParseTaskProgram(aJob.mGraph.mPayload);
  if (program.mRunsUntilStopped) {
    return live == aJob.mGraph.mSteps[0].mReplicas
             ? ""
             : "does not run all its replicas";
  }
  const JobPhase wanted =
    program.mFails || program.mCrashes ? JobPhase::Failed : JobPhase::Completed;
  // Workers that fail all tasks may use up the attempts of a job that works.
  const bool ended = aJob.mLastPhase && (*aJob.mLastPhase == wanted ||
                                         *aJob.mLastPhase == JobPhase::Failed);
  return ended ? "" : "has not ended";
}

std::vector<std::string> PromiseChecker::Missing() const
{
  std::vector<std::string> missing;
  for (const auto& [id, job] : mJobs) {
    if (std::string what = MissingOf(job); !what.empty()) {
      missing.push_back(id.Value() + " " + what);
    }
  }
  return missing;
}

std::size_t PromiseChecker::Accepted() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mJobs, [](const auto& aJob) {
      return aJob.second.mOutcome == SubmitOutcome::Accepted;
    }));
}

} // namespace foxtailbarrow::soak
