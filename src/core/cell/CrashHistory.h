#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CrashBlame.h"
#include "src/core/cell/CrashTrials.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// The worker crashes under one task that no later run of it has disproved, by
/// run number, so that a crash counts once however often it is told. Pure.
///
/// A task is a weak suspect from the first crash that it has likely caused, a
/// strong one from the second, and an unclear one where it was there twice when
/// others were likelier. Suspects are started apart from each other, but for
/// weak ones apart from all (CrashTrials), so that a further crash speaks
/// against them alone. A task is given up after two crashes, one of them alone,
/// or three: each one takes a worker with all that runs there. Starts that got
/// no answer make a suspect only, as the worker may have been down before, and
/// so do crashes that come later; five in all are the end, too.
///
/// A sound task that a crash made a suspect is given up where its trial meets a
/// crash by chance within kFreshUptime. Workers that have crashed lately are
/// taken last for trials.
class CrashHistory
{
public:
  /// Of weights: a crash that speaks against the task alone weighs two, one
  /// that speaks against others too weighs one.
  static constexpr std::size_t kMaxWeight = 3;
  static constexpr std::size_t kSoleWeight = 2;
  /// A task that crashes its worker later than kFreshUptime after the start, or
  /// always beside likelier ones, is tried alone after so many crashes.
  static constexpr std::size_t kMaxPossible = 2;
  /// Crashes of all kinds: one more start after these is allowed at most.
  static constexpr std::size_t kMaxCrashes = 5;
  /// A run that was lost for another reason than a known crash is taken for a
  /// crash so long: above the time after which a crashed worker is back.
  static constexpr Duration kUnexplainedTimeout = std::chrono::seconds(12);

  /// The crashes of each kind, by run.
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
  CrashHistory(Runs aRuns, RunNumber aClearedTo, RunNumber aAnnounced);

  /// False when the crash is known already, or disproved by a later run.
  bool RecordCrash(RunNumber aRun, CrashBlame aBlame);

  /// The run was lost, fresh, with a worker that is silent.
  void RecordUnexplainedLoss(RunNumber aRun, Instant aNow);
  /// The worker is there again, and had not crashed.
  void ClearUnexplainedLoss(RunNumber aRun);

  /// A start was sent. Recorded, so that a next owner knows of a run that all
  /// others have forgotten.
  void RecordStart(RunNumber aRun)
  {
    mUnsettledStart = std::max(mUnsettledStart, aRun);
  }
  /// What became of the run is known. No effect while its loss is unexplained.
  void Settle(RunNumber aRun);
  /// The newest run that was announced and is not settled; 0 = none.
  RunNumber UnsettledStart() const { return mUnsettledStart; }

  /// A run has ended by itself or lives: the task is not the cause. False when
  /// nothing was held against it.
  bool Clear(RunNumber aRun);

  /// While it is strong no other task of the job is started.
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
  /// Crashes that count.
  std::size_t Count() const { return mRuns.Count(); }
  /// False while crashes that are not known yet may be the last ones allowed.
  bool MayStart(Instant aNow) const;

  bool Empty() const
  {
    return Count() == 0 && mClearedTo == 0 && mUnsettledStart == 0;
  }
  const Runs& Crashes() const { return mRuns; }
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
  RunNumber mClearedTo = 0; ///< Crashes of runs up to this are disproved.
  RunNumber mUnsettledStart = 0;
  std::vector<Unexplained> mUnexplained;
};

} // namespace foxtailbarrow::cell
