#pragma once

#include <memory>
#include <vector>

#include "foxtailbarrow/Store.h"
#include "src/platform/store/BatchCounters.h"
#include "src/platform/store/BatchLane.h"
#include "src/platform/store/BatchSettings.h"
#include "src/platform/store/RecordWrite.h"

namespace foxtailbarrow {

/// Batches single record writes into few transactions, because the store's call
/// limit is far below the rate of record changes. Each write has its own
/// condition and gets its own outcome; see BatchCommitter::CommitAll().
///
/// Writes of one lane to one key are applied in the order of the calls. A write
/// that exceeds the bound of its lane's queue is refused at once (Unavailable,
/// NotRun).
class BatchWriter
{
public:
  /// Starts a fiber, for example by FiberRuntime::Spawn().
  using Spawn = BatchLane::Spawn;

  /// `aStore` must outlive this object. Destroy it after the last call of
  /// Write() and while fibers started by `aSpawn` can still run.
  BatchWriter(Store& aStore, BatchSettings aSettings, Spawn aSpawn);
  ~BatchWriter(); ///< Waits for the batches in flight, refuses the rest.

  BatchWriter(const BatchWriter&) = delete;
  BatchWriter& operator=(const BatchWriter&) = delete;

  /// Suspends the fiber until the outcome is known: the revision of the write,
  /// or an error with its verdict. `aLane` is taken modulo the number of lanes.
  absl::StatusOr<Revision> Write(std::size_t aLane, RecordWrite aRecord);

  const BatchCounters& Counters() const { return mCounters; }

private:
  const BatchSettings mSettings;
  const Spawn mSpawn;
  BatchCounters mCounters;
  std::vector<std::shared_ptr<BatchLane>> mLanes;
};

} // namespace foxtailbarrow
