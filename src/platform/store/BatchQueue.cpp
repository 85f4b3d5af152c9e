#include "src/platform/store/BatchQueue.h"

#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace foxtailbarrow {

namespace {

/// Operations and bytes that the chosen writes use of one transaction.
class Usage
{
public:
  explicit Usage(const BatchSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds the record if it fits; the first one always does.
  bool Add(const RecordWrite& aRecord)
  {
    const std::size_t bytes = mBytes + BytesOf(aRecord);
    const std::size_t operations =
      mKeys.size() + mGuards.size() + 1 + (AddsGuard(aRecord) ? 1 : 0);
    const bool fits =
      operations <= mSettings.mMaxOperations && bytes <= mSettings.mMaxBytes;
    if (!mKeys.empty() && !fits) {
      return false;
    }
    if (!mKeys.insert(aRecord.mWrite.mKey).second) {
      return false;
    }
    if (aRecord.mGuard) {
      mGuards.insert(IdOf(*aRecord.mGuard));
    }
    mBytes = bytes;
    return true;
  }

private:
  using GuardId = std::tuple<std::string_view, Revision>;

  static GuardId IdOf(const StoreCompare& aGuard)
  {
    return { aGuard.mKey, aGuard.mModRevision };
  }

  static std::size_t BytesOf(const RecordWrite& aRecord)
  {
    const auto& value = aRecord.mWrite.mValue;
    return aRecord.mWrite.mKey.size() + (value ? value->size() : 0);
  }

  bool AddsGuard(const RecordWrite& aRecord) const
  {
    return aRecord.mGuard && !mGuards.contains(IdOf(*aRecord.mGuard));
  }

  const BatchSettings& mSettings;
  std::set<std::string_view> mKeys;
  std::set<GuardId> mGuards;
  std::size_t mBytes = 0;
};

} // namespace

BatchQueue::BatchQueue(const BatchSettings& aSettings)
  : mSettings(aSettings)
{
}

void BatchQueue::Push(std::unique_ptr<PendingWrite> aWrite)
{
  mWrites.push_back(std::move(aWrite));
}

Instant BatchQueue::LingerEnd() const
{
  return mWrites.front()->mQueuedAt + mSettings.mLinger;
}

BatchQueue::Batch BatchQueue::TakeBatch()
{
  Batch batch;
  Usage usage(mSettings);
  while (!mWrites.empty() && usage.Add(mWrites.front()->mRecord)) {
    batch.push_back(std::move(mWrites.front()));
    mWrites.pop_front();
  }
  return batch;
}

BatchQueue::Batch BatchQueue::TakeAll()
{
  Batch batch(std::make_move_iterator(mWrites.begin()),
              std::make_move_iterator(mWrites.end()));
  mWrites.clear();
  return batch;
}

} // namespace foxtailbarrow
