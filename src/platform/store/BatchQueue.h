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

/// A write that waits for its batch, and the promise of its outcome.
struct PendingWrite
{
  RecordWrite mRecord;
  Instant mQueuedAt;
  boost::fibers::promise<absl::StatusOr<Revision>> mOutcome;
};

/// Waiting writes of one lane in order. Decides which of them go into the next
/// transaction. Pure. Not synchronised.
class BatchQueue
{
public:
  using Batch = std::vector<std::unique_ptr<PendingWrite>>;

  explicit BatchQueue(const BatchSettings& aSettings);

  bool Full() const { return mWrites.size() >= mSettings.mMaxQueued; }
  bool Empty() const { return mWrites.empty(); }

  void Push(std::unique_ptr<PendingWrite> aWrite);

  /// Whether a whole transaction waits, so that lingering gains nothing.
  bool BatchReady() const { return mWrites.size() >= mSettings.mMaxOperations; }

  /// When the oldest write has lingered enough. The queue must not be empty.
  Instant LingerEnd() const;

  /// Takes the oldest writes that fit into one transaction: at most
  /// mMaxOperations with their guards, at most mMaxBytes unless it is a single
  /// write, no key twice.
  Batch TakeBatch();

  /// Takes every write.
  Batch TakeAll();

private:
  const BatchSettings& mSettings;
  std::deque<std::unique_ptr<PendingWrite>> mWrites;
};

} // namespace foxtailbarrow
