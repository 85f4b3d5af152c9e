#include "src/platform/store/BatchLane.h"

#include <mutex>
#include <utility>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

namespace {

absl::Status Refused(const char* aReason)
{
  return WithVerdict(absl::UnavailableError(aReason), Verdict::NotRun);
}

} // namespace

BatchLane::BatchLane(Store& aStore,
                     const BatchSettings& aSettings,
                     BatchCounters& aCounters,
                     const Spawn& aSpawn)
  : mSettings(aSettings)
  , mCounters(aCounters)
  , mSpawn(aSpawn)
  , mCommitter(aStore, aCounters)
  , mQueue(mSettings)
{
}

void BatchLane::Stop()
{
  Lock lock(mMutex);
  mStopping = true;
  for (const auto& write : mQueue.TakeAll()) {
    write->mOutcome.set_value(Refused("the writer is stopping"));
  }
  mWake.notify_all();
  mWake.wait(lock, [this] { return !mFlushing; });
}

absl::StatusOr<Revision> BatchLane::Write(RecordWrite aRecord)
{
  auto write = std::make_unique<PendingWrite>(
    PendingWrite{ std::move(aRecord), MonotonicNow(), {} });
  auto outcome = write->mOutcome.get_future();
  bool start = false;
  if (absl::Status status = Enqueue(std::move(write), start); !status.ok()) {
    return status;
  }
  if (start) {
    // Keeps the lane alive until the fiber has finished using its members.
    mSpawn([self = shared_from_this()] { self->Flush(); });
  }
  return outcome.get();
}

absl::Status BatchLane::Enqueue(std::unique_ptr<PendingWrite> aWrite,
                                bool& aStart)
{
  const Lock lock(mMutex);
  if (mStopping || mQueue.Full()) {
    ++mCounters.mRefused;
    return Refused("too many queued writes");
  }
  mQueue.Push(std::move(aWrite));
  aStart = !std::exchange(mFlushing, true);
  if (mQueue.BatchReady()) {
    mWake.notify_all();
  }
  return absl::OkStatus();
}

void BatchLane::Flush()
{
  Lock lock(mMutex);
  while (!mQueue.Empty()) {
    Linger(lock);
    BatchQueue::Batch batch = mQueue.TakeBatch();
    lock.unlock();
    CommitBatch(std::move(batch));
    lock.lock();
  }
  mFlushing = false;
  mWake.notify_all();
}

void BatchLane::Linger(Lock& aLock)
{
  mWake.wait_until(aLock, mQueue.LingerEnd(), [this] {
    return mStopping || mQueue.BatchReady();
  });
}

void BatchLane::CommitBatch(BatchQueue::Batch aBatch)
{
  std::vector<RecordWrite> records;
  records.reserve(aBatch.size());
  for (const auto& write : aBatch) {
    records.push_back(std::move(write->mRecord));
  }
  std::vector<BatchCommitter::Outcome> outcomes = mCommitter.CommitAll(records);
  for (std::size_t index = 0; index < aBatch.size(); ++index) {
    aBatch[index]->mOutcome.set_value(std::move(outcomes[index]));
  }
}

} // namespace foxtailbarrow
