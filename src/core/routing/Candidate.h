#pragma once

#include "src/core/routing/RoutableAgent.h"

namespace foxtailbarrow {

/// A backend server that may be taken. No agent: none may.
struct Candidate
{
  const RoutableAgent* mAgent = nullptr;
  double mLoad = 0.0; ///< Requests per slot with this one, in slow start more.
  bool mIsProbe = false;

  explicit operator bool() const { return mAgent != nullptr; }
};

/// The less loaded one; the left one when equal.
inline Candidate Better(const Candidate& aLeft, const Candidate& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft ? aLeft : aRight;
  }
  return aRight.mLoad < aLeft.mLoad ? aRight : aLeft;
}

} // namespace foxtailbarrow
