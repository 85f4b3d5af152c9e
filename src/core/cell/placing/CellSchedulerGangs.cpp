#include <algorithm>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"

#include "src/core/cell/CellScheduler.h"
#include "src/core/cell/placing/StepChoices.h"

namespace foxtailbarrow::cell {

/// The run number with which all members may start now; nullopt if one of them
/// may not.
std::optional<RunNumber> CellScheduler::NextRunOfGang(JobEntry& aJob,
                                                      const TaskRef& aFirst,
                                                      Instant aNow) const
{
  RunNumber run = 0;
  TaskRef task = aFirst;
  for (; task.mIndex < aJob.Spec(aFirst).mReplicas; ++task.mIndex) {
    const TaskEntry& member = *aJob.Find(task);
    if (!member.Idle() || member.mNotBefore > aNow ||
        MayRunUnreported(aJob, task, aNow) ||
        !CrashesAllowStart(aJob, task, aNow)) {
      return std::nullopt;
    }
    run = std::max(run, NextRun(member));
  }
  return run;
}

/// False while the start of a member has to be saved first.
bool CellScheduler::PrepareGang(JobEntry& aJob,
                                const TaskRef& aFirst,
                                RunNumber aRun,
                                const CellClock& aClock)
{
  bool mayStart = true;
  TaskRef task = aFirst;
  for (; task.mIndex < aJob.Spec(aFirst).mReplicas; ++task.mIndex) {
    mayStart = !CountForgottenStart(task, aClock) && !aJob.Final() &&
               PrepareStart(aJob, task, aRun, {}, aClock) && mayStart;
  }
  return mayStart;
}

/// Removes the runs of the first members as if they had not been tried. Nothing
/// has been sent yet. Where the run number is recorded already, the next
/// attempt must use the same one.
void CellScheduler::TakeBackGang(JobEntry& aJob,
                                 const TaskRef& aFirst,
                                 RunNumber aRun,
                                 std::span<const MemberBefore> aPlaced,
                                 const CellClock& aClock)
{
  TaskRef task = aFirst;
  for (const auto& [lastRun, idleSince] : aPlaced) {
    TaskEntry& member = aJob.Touch(task);
    const AgentId agent = member.mRuns.front().mAgent;
    const bool planned = member.mCrashes.UnsettledStart() == aRun;
    RemoveRun(aJob, task, agent, aRun, aClock);
    member.mLastRun = planned ? aRun - 1 : lastRun;
    member.mIdleSince = idleSince;
    if (planned) {
      member.mCrashes.PlanStart(aRun);
    }
    mTouchedTasks -= member.NeverStarted() ? 1 : 0;
    ++task.mIndex;
  }
}

/// Places all members or none, under one run number.
void CellScheduler::PlaceGang(JobEntry& aJob,
                              const TaskRef& aFirst,
                              const CellClock& aClock)
{
  const auto run = NextRunOfGang(aJob, aFirst, aClock.mNow);
  if (!run || !PrepareGang(aJob, aFirst, *run, aClock)) {
    return;
  }
  std::vector<MemberBefore> placed;
  StepChoices choices;
  TaskRef task = aFirst;
  for (; task.mIndex < aJob.Spec(aFirst).mReplicas; ++task.mIndex) {
    const TaskEntry& member = *aJob.Find(task);
    const MemberBefore before{ member.mLastRun, member.mIdleSince };
    if (!PlaceTask(aJob, task, *run, aClock, choices)) {
      break;
    }
    placed.push_back(before);
  }
  if (task.mIndex == aJob.Spec(aFirst).mReplicas) {
    mTrials.EndTurn(aFirst, aClock.mNow);
    return;
  }
  if (mTrials.ClaimTurn(aFirst, aClock.mNow)) {
    LogDecision("gang-turn",
                task,
                {},
                *run,
                absl::StrCat("trials=", mTrials.Count()),
                WholeMilliseconds(IdleTime(aJob, aFirst, aClock.mNow)));
  }
  TakeBackGang(aJob, aFirst, *run, placed, aClock);
}

} // namespace foxtailbarrow::cell
