#pragma once

#include <cstdint>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// The agent's last check before it sends a start: orders that were sent before
/// the cordon may be carried out seconds later. Open at the beginning of a
/// session; the owner sends a notice if the domain is cordoned. Pure.
class CordonGate
{
public:
  void BeginSession(Session aSession) { mNewest = { .mSession = aSession }; }

  /// Returns true if the notice is of the current session and newer than any
  /// before. Notices may overtake one another.
  bool Apply(const CordonNotice& aNotice)
  {
    const bool newer =
      aNotice.mSession == mNewest.mSession && aNotice.mNumber > mNewest.mNumber;
    if (newer) {
      mNewest = aNotice;
    }
    return newer;
  }

  bool AllowsStarts() const { return !mNewest.mCordoned; }

private:
  CordonNotice mNewest;
};

} // namespace foxtailbarrow::cell
