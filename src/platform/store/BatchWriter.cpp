#include "src/platform/store/BatchWriter.h"

#include <algorithm>
#include <utility>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

namespace {

/// Rejects a record that no transaction accepts; it would fail its whole batch.
absl::Status Check(const RecordWrite& aRecord)
{
  if (aRecord.mWrite.mKey.empty()) {
    return absl::InvalidArgumentError("key is empty");
  }
  if (!aRecord.mWrite.mValue && aRecord.mExpected == 0) {
    return absl::InvalidArgumentError(
      "a deletion requires an expected revision");
  }
  return absl::OkStatus();
}

} // namespace

BatchWriter::BatchWriter(Store& aStore, BatchSettings aSettings, Spawn aSpawn)
  : mSettings(aSettings)
  , mSpawn(std::move(aSpawn))
{
  const unsigned lanes = std::max(1U, mSettings.mLanes);
  for (unsigned lane = 0; lane < lanes; ++lane) {
    mLanes.push_back(
      std::make_shared<BatchLane>(aStore, mSettings, mCounters, mSpawn));
  }
}

BatchWriter::~BatchWriter()
{
  for (const auto& lane : mLanes) {
    lane->Stop();
  }
}

absl::StatusOr<Revision> BatchWriter::Write(std::size_t aLane,
                                            RecordWrite aRecord)
{
  ++mCounters.mWrites;
  if (absl::Status status = Check(aRecord); !status.ok()) {
    return WithVerdict(std::move(status), Verdict::NotRun);
  }
  return mLanes[aLane % mLanes.size()]->Write(std::move(aRecord));
}

} // namespace foxtailbarrow
