#include "src/core/cell/CrashHistory.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow::cell {

namespace {

bool Contains(const std::vector<RunNumber>& aRuns, RunNumber aRun)
{
  return std::ranges::find(aRuns, aRun) != aRuns.end();
}

bool Contains(const CrashHistory::Runs& aRuns, RunNumber aRun)
{
  return Contains(aRuns.mAlone, aRun) || Contains(aRuns.mLikely, aRun) ||
         Contains(aRuns.mBeside, aRun) || Contains(aRuns.mUnconfirmed, aRun);
}

std::vector<RunNumber>& RunsOf(CrashHistory::Runs& aRuns, CrashBlame aBlame)
{
  switch (aBlame) {
    case CrashBlame::Alone:
      return aRuns.mAlone;
    case CrashBlame::Likely:
      return aRuns.mLikely;
    case CrashBlame::Unconfirmed:
      return aRuns.mUnconfirmed;
    default:
      return aRuns.mBeside;
  }
}

} // namespace

CrashHistory::CrashHistory(Runs aRuns,
                           RunNumber aClearedTo,
                           RunNumber aAnnounced)
  : mRuns(std::move(aRuns))
  , mClearedTo(aClearedTo)
  , mAnnounced(aAnnounced)
{
}

bool CrashHistory::NoteCrash(RunNumber aRun, CrashBlame aBlame)
{
  Explain(aRun);
  if (aBlame == CrashBlame::None || aRun <= mClearedTo ||
      Contains(mRuns, aRun)) {
    return false;
  }
  RunsOf(mRuns, aBlame).push_back(aRun);
  return true;
}

void CrashHistory::NoteUnexplained(RunNumber aRun, Instant aNow)
{
  mUnexplained.push_back({ aRun, aNow + kUnexplainedFor });
}

void CrashHistory::Explain(RunNumber aRun)
{
  std::erase_if(mUnexplained, [aRun](const Unexplained& aLoss) {
    return aLoss.mRun == aRun;
  });
  Settle(aRun);
}

void CrashHistory::Settle(RunNumber aRun)
{
  const bool unexplained =
    std::ranges::any_of(mUnexplained, [aRun](const Unexplained& aLoss) {
      return aLoss.mRun == aRun;
    });
  if (aRun == mAnnounced && !unexplained) {
    mAnnounced = 0;
  }
}

bool CrashHistory::Clear(RunNumber aRun)
{
  if (Count() == 0) {
    return false;
  }
  mRuns = {};
  mClearedTo = std::max(mClearedTo, aRun);
  return true;
}

bool CrashHistory::MayStart(Instant aNow) const
{
  const auto open =
    std::ranges::count_if(mUnexplained, [aNow](const Unexplained& aLoss) {
      return aNow < aLoss.mUntil;
    });
  return open == 0 ||
         Weight() + kAloneWeight * static_cast<std::size_t>(open) < kMostWeight;
}

} // namespace foxtailbarrow::cell
