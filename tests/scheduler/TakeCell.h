#pragma once

#include <boost/fiber/operations.hpp>

#include "apps/scheduler/Election.h"

namespace foxtailbarrow::scheduler::test {

/// Runs rounds of the election, as the scheduler does, until it has won the
/// vacant cell, for at most about a second.
inline void TakeCell(Election& aElection)
{
  const Instant end = MonotonicNow() + std::chrono::seconds(1);
  while (!aElection.Term() && MonotonicNow() < end) {
    const Duration pause = aElection.Round();
    if (!aElection.Term()) {
      boost::this_fiber::sleep_for(pause);
    }
  }
}

} // namespace foxtailbarrow::scheduler::test
