#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/TaskRef.h"
#include "src/core/cell/crashes/CrashBlame.h"
#include "src/core/cell/crashes/CrashTrials.h"

namespace foxtailbarrow::cell {

/// Worker crashes that count against one task, by run number, so that a crash
/// counts once however often it is reported. A later run can clear them. Pure.
///
/// A task is a weak suspect after one crash that it likely caused, a strong one
/// after two, or after one with no other likely cause, and an unclear one if it
/// ran twice where other runs were likelier. No two suspects are started on one
/// worker, and all but weak ones are started with no other fresh task, so that
/// a further crash is evidence against one task (see CrashTrials).
///
/// A task is given up after three likely crashes, or after two if it was the
/// sole likely cause of one of them: each crash loses a worker and all its
/// runs. Starts without an answer only make a suspect, since the worker may
/// have been down already, and so do crashes later in a run; five crashes of
/// any kind give the task up as well.
///
/// A sound task that became a suspect is given up if its trial meets an
/// unrelated crash within kFreshUptime. Workers that crashed recently are
/// therefore the last choice for trials.
class CrashHistory
{
public:
  /// Weight at which a task is given up. A crash with the task as the sole
  /// likely cause weighs kSoleWeight, one with several likely causes weighs 1.
  static constexpr std::size_t kMaxWeight = 3;
  static constexpr std::size_t kSoleWeight = 2;
  /// Crashes after which a task gets an isolated trial if it crashes its worker
  /// later than kFreshUptime after the start, or always next to likelier
  /// causes.
  static constexpr std::size_t kMaxPossible = 2;
  /// Crashes of any kind after which the task is given up; at most one more
  /// start follows.
  static constexpr std::size_t kMaxCrashes = 5;
  /// How long an unexplained loss of a run counts as a crash. Longer than a
  /// crashed worker takes to come back.
  static constexpr Duration kUnexplainedTimeout = std::chrono::seconds(12);

  /// The runs of the crashes, by kind.
  struct Runs
  {
    std::vector<RunNumber> mSole{};
    std::vector<RunNumber> mLikely{};
    std::vector<RunNumber> mPossible{};
    std::vector<RunNumber> mUnconfirmed{};

    std::size_t Count() const
    {
      return mSole.size() + mLikely.size() + mPossible.size() +
             mUnconfirmed.size();
    }
    bool operator==(const Runs&) const = default;
  };

  CrashHistory() = default;
  CrashHistory(Runs aRuns, RunNumber aClearedTo, RunNumber aUnsettledStart);

  /// Returns false if the crash is known already or cleared by a later run.
  bool RecordCrash(RunNumber aRun, CrashBlame aBlame);

  /// A fresh run was lost with a worker that does not answer.
  void RecordUnexplainedLoss(RunNumber aRun, Instant aNow);
  /// The worker answers again and had not crashed.
  void ClearUnexplainedLoss(RunNumber aRun);

  /// A start will be sent once it is saved. Replaces one that was not sent.
  void PlanStart(RunNumber aRun);
  /// A start is sent. It is stored, so that a next owner knows of the run even
  /// if every other process that knew of it was lost.
  void RecordStart(RunNumber aRun);
  /// The outcome of the run is known. No effect while its loss is unexplained.
  void Settle(RunNumber aRun);
  /// The run has reached kProvenUptime: no earlier start is evidence any more.
  void SettleUpTo(RunNumber aRun);
  /// The newest run that was started and is not settled; 0 = none.
  RunNumber UnsettledStart() const { return mUnsettledStart; }

  /// True if the start must be planned, and the plan saved, before it is sent.
  bool MustPlanStart(RunNumber aRun) const
  {
    return Count() > 0 && mUnsettledStart != aRun;
  }

  /// A run ended by itself or reached kProvenUptime, so the task is not the
  /// cause. Returns false if no crash counted against it.
  bool Clear(RunNumber aRun);

  /// No other task of the job is started while the result is Strong.
  Suspicion Suspected() const
  {
    if (Weight() > 1) {
      return Suspicion::Strong;
    }
    if (mRuns.mPossible.size() + mRuns.mUnconfirmed.size() >= kMaxPossible) {
      return Suspicion::Unclear;
    }
    return Weight() + mRuns.mUnconfirmed.size() == 0 ? Suspicion::None
                                                     : Suspicion::Weak;
  }
  bool Suspect() const { return Suspected() != Suspicion::None; }
  bool GivenUp() const
  {
    return Weight() >= kMaxWeight || Count() >= kMaxCrashes;
  }
  /// Crashes that count against the task.
  std::size_t Count() const { return mRuns.Count(); }
  /// False while unexplained losses, if crashes, would give the task up.
  bool MayStart(Instant aNow) const;

  bool Empty() const
  {
    return Count() == 0 && mClearedTo == 0 && mUnsettledStart == 0 &&
           mEarlierStarts.empty();
  }
  const Runs& Crashes() const { return mRuns; }
  /// As Crashes(), with the earlier starts that are not settled as unconfirmed
  /// crashes: a next owner hears of them only if their agents still know them.
  Runs CrashesToStore() const;
  RunNumber ClearedTo() const { return mClearedTo; }

private:
  struct Unexplained
  {
    RunNumber mRun = 0;
    Instant mUntil{};
  };

  std::size_t Weight() const
  {
    return mRuns.mLikely.size() + kSoleWeight * mRuns.mSole.size();
  }

  Runs mRuns;
  RunNumber mClearedTo = 0; ///< Crashes of runs up to this one are cleared.
  RunNumber mUnsettledStart = 0;
  bool mStartIsPlanned = false; ///< mUnsettledStart has not been sent.
  /// Earlier starts that are not settled: their workers do not answer.
  std::vector<RunNumber> mEarlierStarts;
  std::vector<Unexplained> mUnexplained;
};

} // namespace foxtailbarrow::cell
