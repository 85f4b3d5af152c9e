#pragma once

#include "foxtailbarrow/Store.h"
#include "src/core/ownership/StoreCommand.h"

namespace foxtailbarrow::entry {

/// Runs one call that the ownership logic asked for. Suspends the fiber.
StoreResult RunStoreCall(Store& aStore, const StoreCommand& aCall);

} // namespace foxtailbarrow::entry
