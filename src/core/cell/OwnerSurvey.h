#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// Collects what the other schedulers know of the cell's owner. A scheduler
/// that owned the cell when it last reached the store asks them one after the
/// other.
class OwnerSurvey
{
public:
  explicit OwnerSurvey(std::size_t aPeers)
    : mSilent(aPeers)
  {
  }

  /// `aKnown`: newest generation known to the peer; 0 = it has seen no owner
  /// since it started.
  void OnAnswer(Generation aKnown)
  {
    mSilent -= mSilent > 0 ? 1 : 0;
    mOldest = std::min(mOldest, aKnown);
    mNewest = std::max(mNewest, aKnown);
  }

  /// True when no scheduler has owned the cell after generation `aOwn`, so that
  /// no caller was given an answer that this owner does not know. False when a
  /// peer does not answer or has seen no owner: it may have been the owner and
  /// crashed.
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
