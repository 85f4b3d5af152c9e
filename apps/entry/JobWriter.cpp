#include "apps/entry/JobWriter.h"

#include "apps/entry/JobKeys.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow::entry {

namespace {

constexpr int kMaxCancelTries = 5;

StoreTransaction CreateIfAbsent(const std::string& aKey,
                                const JobRecord& aRecord)
{
  return { { { aKey, 0 } }, { { aKey, ToJsonText(aRecord), 0 } } };
}

bool IsSameSpec(const JobSpec& aLeft, const JobSpec& aRight)
{
  return ToJsonText(aLeft) == ToJsonText(aRight);
}

/// A record written by BlockLateWrite(): the job was never reported as
/// accepted.
bool IsBlocked(const JobRecord& aRecord)
{
  return aRecord.mState == JobState::Cancelled && aRecord.mEpoch == 0 &&
         !aRecord.mCancelRequested &&
         aRecord.mReason == ToString(Reason::WaitingForStore);
}

} // namespace

SubmissionResult JobWriter::ResultOfExisting(const StoreEntry& aEntry,
                                             const JobSpec& aSpec)
{
  absl::StatusOr<JobRecord> record = FromJsonText<JobRecord>(aEntry.mValue);
  if (!record.ok() || !IsSameSpec(record->mSpec, aSpec)) {
    return SubmissionConflict{};
  }
  if (IsBlocked(*record)) {
    return Reopen(aEntry, aSpec);
  }
  return Submitted{ *std::move(record) };
}

SubmissionResult JobWriter::Reopen(const StoreEntry& aEntry,
                                   const JobSpec& aSpec)
{
  JobRecord record;
  record.mSpec = aSpec;
  const auto result =
    mStore.Commit({ { { aEntry.mKey, aEntry.mModRevision } },
                    { { aEntry.mKey, ToJsonText(record), 0 } } });
  if (result.ok() && result->mApplied) {
    return Submitted{ record };
  }
  return SubmissionFailed{ Verdict::MayHaveRun };
}

SubmissionResult JobWriter::Submit(ShardId aShard, const JobSpec& aSpec)
{
  const std::string key = JobKey(aShard, aSpec.mId);
  JobRecord record;
  record.mSpec = aSpec;
  const auto result = mStore.Commit(CreateIfAbsent(key, record));
  if (result.ok() && result->mApplied) {
    return Submitted{ record };
  }
  if (!result.ok() && VerdictOf(result.status()) == Verdict::NotRun) {
    return SubmissionFailed{ Verdict::NotRun };
  }
  return ReadBack(key, aSpec);
}

SubmissionResult JobWriter::ReadBack(const std::string& aKey,
                                     const JobSpec& aSpec)
{
  const auto entry = mStore.Read(aKey);
  if (entry.ok()) {
    return ResultOfExisting(*entry, aSpec);
  }
  if (absl::IsNotFound(entry.status())) {
    return BlockLateWrite(aKey, aSpec);
  }
  return SubmissionFailed{ Verdict::MayHaveRun };
}

SubmissionResult JobWriter::BlockLateWrite(const std::string& aKey,
                                           const JobSpec& aSpec)
{
  JobRecord blocked;
  blocked.mSpec = aSpec;
  blocked.mState = JobState::Cancelled;
  blocked.mReason = std::string(ToString(Reason::WaitingForStore));
  const auto result = mStore.Commit(CreateIfAbsent(aKey, blocked));
  if (result.ok() && result->mApplied) {
    return SubmissionFailed{ Verdict::NotRun };
  }
  if (const auto entry = mStore.Read(aKey); entry.ok()) {
    return ResultOfExisting(*entry, aSpec);
  }
  return SubmissionFailed{ Verdict::MayHaveRun };
}

CancelResult JobWriter::Cancel(ShardId aShard, const JobId& aJob)
{
  const std::string key = JobKey(aShard, aJob);
  for (int tries = 0; tries < kMaxCancelTries; ++tries) {
    const auto entry = mStore.Read(key);
    if (absl::IsNotFound(entry.status())) {
      return CancelResult::Unknown;
    }
    if (!entry.ok()) {
      continue;
    }
    absl::StatusOr<JobRecord> record = FromJsonText<JobRecord>(entry->mValue);
    if (!record.ok()) {
      return CancelResult::NotSaved;
    }
    if (record->mCancelRequested) {
      return CancelResult::Accepted;
    }
    if (IsFinal(record->mState)) {
      return CancelResult::AlreadyFinal;
    }
    record->mCancelRequested = true;
    const auto result = mStore.Commit({ { { key, entry->mModRevision } },
                                        { { key, ToJsonText(*record), 0 } } });
    if (result.ok() && result->mApplied) {
      return CancelResult::Accepted;
    }
  }
  return CancelResult::NotSaved;
}

} // namespace foxtailbarrow::entry
