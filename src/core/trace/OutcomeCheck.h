#pragma once

#include <span>
#include <string>
#include <vector>

#include "src/core/trace/ExpectedOutcomes.h"
#include "src/core/trace/ReplayTotals.h"

namespace foxtailbarrow {

/// One row of the table that a replay prints.
struct OutcomeRow
{
  std::string mName;
  std::string mMeasured;
  std::string mExpected; ///< Empty where nothing is stated.
  bool mMet = true;
};

/// Compares what was seen with what was stated.
std::vector<OutcomeRow> CheckOutcomes(const ExpectedOutcomes& aExpected,
                                      const ReplayTotals& aTotals);

bool AllMet(std::span<const OutcomeRow> aRows);

/// Aligned table, with "missed" beside each row that is not met.
std::string FormatOutcomes(std::span<const OutcomeRow> aRows);

} // namespace foxtailbarrow
