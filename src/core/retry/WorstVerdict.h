#pragma once

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

/// Verdict of a request from those of two of its attempts: NotRun only when
/// both are.
constexpr Verdict WorstVerdict(Verdict aLeft, Verdict aRight)
{
  if (aLeft == Verdict::NotRun) {
    return aRight;
  }
  return aRight == Verdict::NotRun ? aLeft : Verdict::MayHaveRun;
}

} // namespace foxtailbarrow
