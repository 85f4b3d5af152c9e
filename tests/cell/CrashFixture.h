#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

inline const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

/// A scheduler with helpers that crash its workers.
class CrashFixture : public CellFixture
{
protected:
  static constexpr int kReportMs = 460;

  /// Starts the agent's ordered tasks and reports them running for `aMs`.
  OrderRequest RunFor(const std::string& aAgent, int aMs)
  {
    const OrderRequest orders = Orders(aAgent);
    Started(aAgent, orders);
    for (const StartOrder& start : orders.mStarts) {
      mRunning[aAgent].push_back(Running(start.mTask, start.mRun));
    }
    for (int passed = 0; passed < aMs; passed += kReportMs) {
      AdvanceClock(milliseconds(kReportMs));
      Grant("a");
      Grant("b");
      Report(aAgent, State(mWorkerIncarnation, mRunning[aAgent]));
    }
    return orders;
  }

  void Crash(const std::string& aAgent, const std::string& aNext)
  {
    mRunning[aAgent].clear();
    AdvanceClock(milliseconds(kReportMs));
    Report(aAgent, State(aNext));
    SaveProgress();
  }

  /// All processes are lost at once, and the next owner places the open tasks.
  void TakeOverAfterPowerLoss(const WorkerState& aFound = State("a-next"))
  {
    SaveProgress();
    TakeOverAfterPowerLoss(ProgressOf(mScheduler.Jobs().at(kFirst.mJob)),
                           aFound);
  }

  /// As above, with the progress that the store holds.
  void TakeOverAfterPowerLoss(const StoredProgress& aSaved,
                              const WorkerState& aFound = State("a-next"))
  {
    const StoredJob stored = mScheduler.Jobs().at(kFirst.mJob).mStored;
    mScheduler = CellScheduler(++mOwner, mSettings, [](const CellDecision&) {});
    mScheduler.SetQueues({ Policy() });
    mScheduler.AddJob(stored, aSaved, ++mRevision, Clock());
    Attach("a", aFound);
    Grant("a");
    mScheduler.Schedule(Clock());
  }

  static StoredCrashes Stored(std::int32_t aIndex, CrashHistory::Runs aRuns)
  {
    return { aIndex, std::move(aRuns), 0 };
  }

  const CrashHistory& Crashes(const TaskRef& aTask) const
  {
    return mScheduler.Jobs().at(aTask.mJob).Find(aTask)->mCrashes;
  }

  Generation mOwner = kGeneration;
  std::map<std::string, std::vector<RunningTask>> mRunning;
  std::string mWorkerIncarnation = "a-life"; ///< Of the running worker.
};

} // namespace foxtailbarrow::cell::test
