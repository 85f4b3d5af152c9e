#pragma once

#include <string>

#include "absl/status/statusor.h"

namespace foxtailbarrow::ctl {

/// Reads a whole file; InvalidArgument if it cannot be read or is larger than
/// 1 MiB, more than any valid document.
absl::StatusOr<std::string> ReadFile(const std::string& aPath);

} // namespace foxtailbarrow::ctl
