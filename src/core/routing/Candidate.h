#pragma once

#include "src/core/routing/RoutableAgent.h"

namespace foxtailbarrow {

/// A backend server that can be picked; empty when there is none.
struct Candidate
{
  const RoutableAgent* mAgent = nullptr;
  /// Requests per slot including this one, higher during slow start.
  double mLoad = 0.0;
  bool mIsProbe = false;

  explicit operator bool() const { return mAgent != nullptr; }
};

/// The less loaded candidate; `aLeft` when equal.
inline Candidate Better(const Candidate& aLeft, const Candidate& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft ? aLeft : aRight;
  }
  return aRight.mLoad < aLeft.mLoad ? aRight : aLeft;
}

} // namespace foxtailbarrow
