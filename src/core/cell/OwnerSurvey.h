#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// What the other schedulers know of the cell's owner, asked one after the
/// other by a scheduler that owned it when it last reached the store.
class OwnerSurvey
{
public:
  explicit OwnerSurvey(std::size_t aPeers)
    : mSilent(aPeers)
  {
  }

  /// One of them answered; 0 = it has seen no owner since it started.
  void OnAnswer(Generation aKnown)
  {
    mSilent -= mSilent > 0 ? 1 : 0;
    mOldest = std::min(mOldest, aKnown);
    mNewest = std::max(mNewest, aKnown);
  }

  /// Nobody has owned the cell after `aOwn`, so that nobody has told a caller
  /// what that owner does not know. Of one that does not answer, or that has
  /// seen no owner, nothing is known: it may have been the owner and died.
  bool HasNoLaterOwner(Generation aOwn) const
  {
    return mSilent == 0 && mOldest > 0 && mNewest <= aOwn;
  }

private:
  std::size_t mSilent;
  Generation mOldest = std::numeric_limits<Generation>::max();
  Generation mNewest = 0;
};

} // namespace foxtailbarrow::cell
