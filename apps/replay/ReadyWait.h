#pragma once

#include <set>

#include "absl/status/status.h"

#include "apps/replay/ReplayContext.h"
#include "foxtailbarrow/Id.h"

namespace foxtailbarrow::replay {

/// Waits until every entry serves every customer, `aTimeout` at most: sends a
/// GET for each until it is answered. DeadlineExceeded names who is not served.
absl::Status WaitUntilServed(ReplayContext& aContext,
                             const std::set<CustomerId>& aCustomers,
                             Duration aTimeout);

} // namespace foxtailbarrow::replay
