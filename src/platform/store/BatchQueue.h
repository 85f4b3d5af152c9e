#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include <boost/fiber/future/promise.hpp>

#include "absl/status/statusor.h"

#include "src/platform/store/BatchSettings.h"
#include "src/platform/store/RecordWrite.h"

namespace foxtailbarrow {

/// A queued write and the promise of its outcome.
struct PendingWrite
{
  RecordWrite mRecord;
  Instant mQueuedAt;
  boost::fibers::promise<absl::StatusOr<Revision>> mOutcome;
};

/// Queued writes of one lane in order. Chooses those of the next transaction.
/// Pure. Not synchronised.
class BatchQueue
{
public:
  using Batch = std::vector<std::unique_ptr<PendingWrite>>;

  explicit BatchQueue(const BatchSettings& aSettings);

  bool Full() const { return mWrites.size() >= mSettings.mMaxQueued; }
  bool Empty() const { return mWrites.empty(); }

  void Push(std::unique_ptr<PendingWrite> aWrite);

  /// Whether a full transaction is queued, so that lingering is pointless.
  bool BatchReady() const { return mWrites.size() >= mSettings.mMaxOperations; }

  /// When the linger time of the oldest write ends. The queue must not be
  /// empty.
  Instant LingerEnd() const;

  /// Removes the oldest writes that fit into one transaction: at most
  /// mMaxOperations including guards, at most mMaxBytes unless it is a single
  /// write, no key twice.
  Batch TakeBatch();

  /// Removes every write.
  Batch TakeAll();

private:
  const BatchSettings& mSettings;
  std::deque<std::unique_ptr<PendingWrite>> mWrites;
};

} // namespace foxtailbarrow
