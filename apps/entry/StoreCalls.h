#pragma once

#include "foxtailbarrow/Store.h"
#include "src/core/ownership/StoreCommand.h"

namespace foxtailbarrow::entry {

/// Executes a store call requested by ShardOwnership. Suspends the fiber.
StoreResult RunStoreCall(Store& aStore, const StoreCommand& aCall);

} // namespace foxtailbarrow::entry
