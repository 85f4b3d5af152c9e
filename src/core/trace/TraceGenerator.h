#pragma once

#include <cstdint>

#include "src/core/trace/DeploymentShape.h"
#include "src/core/trace/Trace.h"

namespace foxtailbarrow {

/// Generates a trace with the shape of a deployment: Poisson arrivals with a
/// load peak in the middle, long-tailed service times, jobs at random times,
/// real sizes and run times that differ from the declared ones. Equal seeds
/// give equal traces with the same version of the libraries.
Trace GenerateTrace(const DeploymentShape& aShape, std::uint64_t aSeed);

} // namespace foxtailbarrow
