#include "src/core/cell/crashes/CrashHistory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailbarrow::cell {

namespace {

bool Contains(const std::vector<RunNumber>& aRuns, RunNumber aRun)
{
  return std::ranges::find(aRuns, aRun) != aRuns.end();
}

bool Contains(const CrashHistory::Runs& aRuns, RunNumber aRun)
{
  return Contains(aRuns.mSole, aRun) || Contains(aRuns.mLikely, aRun) ||
         Contains(aRuns.mPossible, aRun) || Contains(aRuns.mUnconfirmed, aRun);
}

std::vector<RunNumber>& RunsOf(CrashHistory::Runs& aRuns, CrashBlame aBlame)
{
  switch (aBlame) {
    case CrashBlame::Sole:
      return aRuns.mSole;
    case CrashBlame::Likely:
      return aRuns.mLikely;
    case CrashBlame::Unconfirmed:
      return aRuns.mUnconfirmed;
    default:
      return aRuns.mPossible;
  }
}

} // namespace

CrashHistory::CrashHistory(Runs aRuns,
                           RunNumber aClearedTo,
                           RunNumber aUnsettledStart)
  : mRuns(std::move(aRuns))
  , mClearedTo(aClearedTo)
  , mUnsettledStart(aUnsettledStart)
{
}

bool CrashHistory::RecordCrash(RunNumber aRun, CrashBlame aBlame)
{
  ClearUnexplainedLoss(aRun);
  if (aBlame == CrashBlame::None || aRun <= mClearedTo ||
      Contains(mRuns, aRun)) {
    return false;
  }
  RunsOf(mRuns, aBlame).push_back(aRun);
  return true;
}

void CrashHistory::RecordUnexplainedLoss(RunNumber aRun, Instant aNow)
{
  mUnexplained.push_back({ aRun, aNow + kUnexplainedTimeout });
}

void CrashHistory::ClearUnexplainedLoss(RunNumber aRun)
{
  std::erase_if(mUnexplained, [aRun](const Unexplained& aLoss) {
    return aLoss.mRun == aRun;
  });
  Settle(aRun);
}

void CrashHistory::PlanStart(RunNumber aRun)
{
  if (mStartIsPlanned) {
    mUnsettledStart = 0;
  }
  RecordStart(aRun);
  mStartIsPlanned = true;
}

void CrashHistory::RecordStart(RunNumber aRun)
{
  mStartIsPlanned = false;
  const RunNumber earlier = std::min(mUnsettledStart, aRun);
  mUnsettledStart = std::max(mUnsettledStart, aRun);
  if (earlier != 0 && earlier != mUnsettledStart &&
      !Contains(mEarlierStarts, earlier)) {
    mEarlierStarts.push_back(earlier);
  }
}

void CrashHistory::Settle(RunNumber aRun)
{
  const bool unexplained =
    std::ranges::any_of(mUnexplained, [aRun](const Unexplained& aLoss) {
      return aLoss.mRun == aRun;
    });
  if (unexplained) {
    return;
  }
  if (aRun == mUnsettledStart) {
    mUnsettledStart = 0;
  }
  std::erase(mEarlierStarts, aRun);
}

void CrashHistory::SettleUpTo(RunNumber aRun)
{
  Settle(aRun);
  std::erase_if(mEarlierStarts,
                [aRun](RunNumber aEarlier) { return aEarlier < aRun; });
}

CrashHistory::Runs CrashHistory::CrashesToStore() const
{
  Runs runs = mRuns;
  std::ranges::copy_if(mEarlierStarts,
                       std::back_inserter(runs.mUnconfirmed),
                       [this](RunNumber aRun) {
                         return !Contains(mRuns, aRun) && aRun > mClearedTo;
                       });
  return runs;
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
         Weight() + kSoleWeight * static_cast<std::size_t>(open) < kMaxWeight;
}

} // namespace foxtailbarrow::cell
