#pragma once

#include "absl/status/status.h"

namespace foxtailbarrow::net {

/// Marks the error of a connection that the peer's machine refused: it answers,
/// and nothing listens at the address.
absl::Status WithConnectionRefused(absl::Status aStatus);

bool IsConnectionRefused(const absl::Status& aStatus);

} // namespace foxtailbarrow::net
