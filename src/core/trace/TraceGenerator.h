#pragma once

#include <cstdint>

#include "src/core/trace/DeploymentShape.h"
#include "src/core/trace/Trace.h"

namespace foxtailbarrow {

/// A trace in the shape of a deployment: Poisson arrivals whose rate rises to
/// a rush in the middle, service times with a long tail, jobs at random times,
/// real sizes and run times unlike the declared ones. Equal seeds give equal
/// traces with the same version of the libraries.
Trace GenerateTrace(const DeploymentShape& aShape, std::uint64_t aSeed);

} // namespace foxtailbarrow
