#pragma once

#include <span>
#include <string>
#include <vector>

#include "src/core/trace/ExpectedOutcomes.h"
#include "src/core/trace/ReplayTotals.h"

namespace foxtailbarrow {

/// A row of the result table of a replay.
struct OutcomeRow
{
  std::string mName;
  std::string mMeasured;
  std::string mExpected; ///< Empty when no bound applies.
  bool mMet = true;
};

/// Compares the totals of a replay with the expected outcomes.
std::vector<OutcomeRow> CheckOutcomes(const ExpectedOutcomes& aExpected,
                                      const ReplayTotals& aTotals);

bool AllMet(std::span<const OutcomeRow> aRows);

/// Formats an aligned table that marks each row as "met" or "MISSED".
std::string FormatOutcomes(std::span<const OutcomeRow> aRows);

} // namespace foxtailbarrow
