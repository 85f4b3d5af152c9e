#pragma once

#include <optional>

#include "foxtailbarrow/Store.h"

namespace foxtailbarrow {

/// One record to be written under a condition of its own.
///
/// The value must be unique to this write (hold an epoch or a token): after a
/// lost reply it is what tells this write from another's.
struct RecordWrite
{
  StoreWrite mWrite;
  /// Mod revision that the key must have; 0 = the key must not exist. A
  /// deletion needs one that is not 0.
  Revision mExpected = 0;
  /// A further condition, for example that the writer still owns the shard.
  /// Writes with the same guard share one compare.
  std::optional<StoreCompare> mGuard;
};

} // namespace foxtailbarrow
