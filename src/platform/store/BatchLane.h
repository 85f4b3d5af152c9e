#pragma once

#include <functional>
#include <memory>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "src/platform/store/BatchCommitter.h"
#include "src/platform/store/BatchQueue.h"

namespace foxtailbarrow {

/// Queue of writes and the fiber that commits them batch by batch. The fiber
/// exists while writes are queued. Safe from any fiber of any thread.
class BatchLane : public std::enable_shared_from_this<BatchLane>
{
public:
  using Spawn = std::function<void(std::function<void()>)>;

  /// Every reference must stay valid until Stop() has returned.
  BatchLane(Store& aStore,
            const BatchSettings& aSettings,
            BatchCounters& aCounters,
            const Spawn& aSpawn);

  /// Suspends the fiber until the outcome is known.
  absl::StatusOr<Revision> Write(RecordWrite aRecord);

  /// Refuses queued writes and waits for the batch in flight.
  void Stop();

private:
  using Lock = std::unique_lock<boost::fibers::mutex>;

  absl::Status Enqueue(std::unique_ptr<PendingWrite> aWrite, bool& aStart);
  void Flush();
  void Linger(Lock& aLock);
  void CommitBatch(BatchQueue::Batch aBatch);

  const BatchSettings& mSettings;
  BatchCounters& mCounters;
  const Spawn& mSpawn;
  BatchCommitter mCommitter;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mWake;
  BatchQueue mQueue;
  bool mFlushing = false;
  bool mStopping = false;
};

} // namespace foxtailbarrow
