#pragma once

#include <string>

#include "absl/status/statusor.h"

namespace foxtailbarrow::ctl {

/// The whole file; InvalidArgument when it cannot be read or is larger than
/// 1 MiB, more than any document of ours.
absl::StatusOr<std::string> ReadFile(const std::string& aPath);

} // namespace foxtailbarrow::ctl
