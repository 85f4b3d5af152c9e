#pragma once

#include <optional>

#include "foxtailbarrow/Store.h"

namespace foxtailbarrow {

/// A record and the condition of its write.
///
/// The value must be unique to this write (contain an epoch or a token): after
/// a lost reply, it distinguishes this write from that of another writer.
struct RecordWrite
{
  StoreWrite mWrite;
  /// Mod revision that the key must have; 0 = the key must not exist. Must not
  /// be 0 for a deletion.
  Revision mExpected = 0;
  /// Additional condition, for example that the writer still owns the shard.
  /// Writes with the same guard share one compare.
  std::optional<StoreCompare> mGuard;
};

} // namespace foxtailbarrow
