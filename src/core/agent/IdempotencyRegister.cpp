#include "src/core/agent/IdempotencyRegister.h"

#include <utility>

namespace foxtailbarrow {

IdempotencyRegister::IdempotencyRegister(IdempotencyLimits aLimits)
  : mLimits(aLimits)
{
}

KeyedAttempt IdempotencyRegister::Begin(const IdempotencyKey& aKey,
                                        std::uint64_t aFingerprint,
                                        Instant aNow)
{
  const std::lock_guard lock(mMutex);
  Trim(aNow);
  if (const auto found = mRecords.find(aKey); found != mRecords.end()) {
    const Record& record = found->second;
    if (record.mRevoked) {
      return AttemptRevoked{};
    }
    if (record.mFingerprint != aFingerprint) {
      return AttemptMismatch{};
    }
    if (record.mAnswer != nullptr) {
      return AttemptReplay{ record.mAnswer };
    }
    return AttemptDuplicate{ record.mVerdict };
  }
  mRecords[aKey].mFingerprint = aFingerprint;
  return AttemptAllowed{};
}

void IdempotencyRegister::Finish(const IdempotencyKey& aKey,
                                 Verdict aVerdict,
                                 std::optional<StoredAnswer> aAnswer,
                                 Instant aNow)
{
  const std::lock_guard lock(mMutex);
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || !found->second.mInProgress) {
    return;
  }
  if (aVerdict == Verdict::NotRun) {
    mRecords.erase(found);
    return;
  }
  Record& record = found->second;
  record.mInProgress = false;
  record.mVerdict = aVerdict;
  if (aAnswer && aAnswer->Bytes() <= mLimits.mMaxAnswerBytes) {
    mBytes += aAnswer->Bytes();
    record.mAnswer = std::make_shared<const StoredAnswer>(*std::move(aAnswer));
    mWithAnswer.push_back(aKey);
  }
  mEnded.push_back({ aKey, aNow });
  Trim(aNow);
}

KeyRevocation IdempotencyRegister::Revoke(const IdempotencyKey& aKey,
                                          Instant aNow)
{
  const std::lock_guard lock(mMutex);
  Trim(aNow);
  const auto [found, isNew] = mRecords.try_emplace(aKey);
  Record& record = found->second;
  if (isNew) {
    record.mInProgress = false;
    record.mRevoked = true;
    mEnded.push_back({ aKey, aNow });
    return { Verdict::NotRun, false };
  }
  if (record.mRevoked) {
    return { Verdict::NotRun, true };
  }
  return { record.mInProgress ? Verdict::MayHaveRun : record.mVerdict, false };
}

std::size_t IdempotencyRegister::Size() const
{
  const std::lock_guard lock(mMutex);
  return mRecords.size();
}

void IdempotencyRegister::Trim(Instant aNow)
{
  while (!mEnded.empty() && (mEnded.front().mAt + mLimits.mRetention <= aNow ||
                             mEnded.size() > mLimits.mMaxKeys)) {
    DropOldestKey();
  }
  while (mBytes > mLimits.mMaxBytes) {
    DropOldestAnswer();
  }
}

void IdempotencyRegister::DropOldestKey()
{
  const IdempotencyKey& key = mEnded.front().mKey;
  // Answers are queued in the order in which their attempts ended, so the
  // oldest key either has the oldest answer or none.
  if (!mWithAnswer.empty() && mWithAnswer.front() == key) {
    DropOldestAnswer();
  }
  mRecords.erase(key);
  mEnded.pop_front();
}

void IdempotencyRegister::DropOldestAnswer()
{
  Record& oldest = mRecords[mWithAnswer.front()];
  mBytes -= oldest.mAnswer->Bytes();
  oldest.mAnswer.reset();
  mWithAnswer.pop_front();
}

} // namespace foxtailbarrow
