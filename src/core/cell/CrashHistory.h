#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/cell/CrashBlame.h"
#include "src/core/cell/TaskRef.h"

namespace foxtailbarrow::cell {

/// The worker crashes under one task that no later run of it has disproved, by
/// run number, so that a crash counts once however often it is told. Pure.
///
/// A task is a suspect from the first crash that it has likely caused; it is
/// then started apart from others (CrashTrials), so that a further crash during
/// such a start speaks against it alone. It is given up after three. A sound
/// task is given up only when three of its starts meet crashes that come by
/// chance within kFreshLife: at one chance crash in 100 s and worker (15 of 100
/// workers three times in 48 s), 0.005 cubed, or one in eight million tasks
/// that start.
class CrashHistory
{
public:
  /// Whose starts count; also what a caller may be told a job failed for.
  static constexpr std::size_t kMostLikely = 3;
  /// The same with crashes that others were likelier to have caused: a task
  /// whose starts always come together with others is bounded too. A task that
  /// crashes its worker within kProvenLife is then started five times at most.
  static constexpr std::size_t kMostInAll = 5;
  /// A run that was lost for another reason than a known crash is taken for a
  /// crash so long: crashed workers were back within 4 s.
  static constexpr Duration kUnexplainedFor = std::chrono::seconds(12);

  CrashHistory() = default;
  CrashHistory(std::vector<RunNumber> aLikely,
               std::vector<RunNumber> aBeside,
               RunNumber aClearedTo);

  /// False when the crash is known already, or disproved by a later run.
  bool NoteCrash(RunNumber aRun, CrashBlame aBlame);

  /// The run was lost, fresh, with a worker that is silent.
  void NoteUnexplained(RunNumber aRun, Instant aNow);
  /// The worker is there again, and had not crashed.
  void Explain(RunNumber aRun);

  /// A run has ended by itself or lives: the task is not the cause. False when
  /// nothing was held against it.
  bool Clear(RunNumber aRun);

  bool Suspect() const { return !mLikely.empty(); }
  /// Likely to be the cause: no other task of its job is started meanwhile.
  bool StrongSuspect() const { return mLikely.size() + 1 >= kMostLikely; }
  bool GivenUp() const
  {
    return mLikely.size() >= kMostLikely || Count() >= kMostInAll;
  }
  /// Crashes that count.
  std::size_t Count() const { return mLikely.size() + mBeside.size(); }
  /// False while crashes that are not known yet may be the last ones allowed.
  bool MayStart(Instant aNow) const;

  bool Empty() const
  {
    return mLikely.empty() && mBeside.empty() && mClearedTo == 0;
  }
  const std::vector<RunNumber>& Likely() const { return mLikely; }
  const std::vector<RunNumber>& Beside() const { return mBeside; }
  RunNumber ClearedTo() const { return mClearedTo; }

private:
  struct Unexplained
  {
    RunNumber mRun = 0;
    Instant mUntil{};
  };

  std::vector<RunNumber> mLikely;
  std::vector<RunNumber> mBeside;
  RunNumber mClearedTo = 0; ///< Crashes of runs up to this are disproved.
  std::vector<Unexplained> mUnexplained;
};

} // namespace foxtailbarrow::cell
