#pragma once

#include "foxtailbarrow/Store.h"
#include "src/core/ownership/StoreCall.h"

namespace foxtailbarrow::entry {

/// Runs one call that the ownership logic asked for. Suspends the fiber.
StoreResult RunStoreCall(Store& aStore, const StoreCall& aCall);

} // namespace foxtailbarrow::entry
