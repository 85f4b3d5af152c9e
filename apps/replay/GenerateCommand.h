#pragma once

#include "absl/status/status.h"

#include "apps/replay/ReplaySettings.h"

namespace foxtailbarrow::replay {

/// Writes the trace and, if requested, the contracts that it needs.
absl::Status Generate(const GenerateSettings& aSettings);

} // namespace foxtailbarrow::replay
