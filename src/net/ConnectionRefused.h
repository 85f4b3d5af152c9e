#pragma once

#include "absl/status/status.h"

namespace foxtailbarrow::net {

/// Marks an error as a refused connection: the peer's host is reachable, but no
/// process listens on the port.
absl::Status WithConnectionRefused(absl::Status aStatus);

bool IsConnectionRefused(const absl::Status& aStatus);

} // namespace foxtailbarrow::net
