#pragma once

#include <set>

#include "absl/status/status.h"

#include "apps/replay/ReplayContext.h"
#include "foxtailbarrow/Id.h"

namespace foxtailbarrow::replay {

/// Waits for up to `aTimeout` until a GET succeeds for every entry and
/// customer. DeadlineExceeded names the entry and the customer that it does not
/// serve.
absl::Status WaitUntilServed(ReplayContext& aContext,
                             const std::set<CustomerId>& aCustomers,
                             Duration aTimeout);

} // namespace foxtailbarrow::replay
