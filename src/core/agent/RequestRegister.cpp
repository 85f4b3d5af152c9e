#include "src/core/agent/RequestRegister.h"

#include <algorithm>

#include "absl/hash/hash.h"

namespace foxtailbarrow {

RequestRegister::RequestRegister(RequestRegisterLimits aLimits, Instant aStart)
  : mLimits(aLimits)
{
  for (Shard& shard : mShards) {
    shard.mDroppedBefore = aStart;
  }
}

RequestRegister::Shard& RequestRegister::ShardOf(const RequestId& aRequest)
{
  // The map uses the low bits of the same hash to choose a slot, so the shard
  // is chosen by the high bits.
  return mShards[absl::HashOf(aRequest) >> 58];
}

RequestAdmission RequestRegister::Begin(const RequestId& aRequest, Instant aNow)
{
  Shard& shard = ShardOf(aRequest);
  const std::lock_guard lock(shard.mMutex);
  Trim(shard, aNow);
  const auto [state, isNew] =
    shard.mStates.try_emplace(aRequest, State::InProgress);
  if (isNew) {
    return RequestAdmission::Admitted;
  }
  switch (state->second) {
    case State::InProgress:
      return RequestAdmission::InProgress;
    case State::Revoked:
      return RequestAdmission::Revoked;
    case State::Ran:
    case State::MayHaveRun:
      break;
  }
  return RequestAdmission::Finished;
}

void RequestRegister::Finish(const RequestId& aRequest,
                             Verdict aVerdict,
                             Instant aNow)
{
  Shard& shard = ShardOf(aRequest);
  const std::lock_guard lock(shard.mMutex);
  const auto state = shard.mStates.find(aRequest);
  if (state == shard.mStates.end() || state->second != State::InProgress) {
    return;
  }
  if (aVerdict == Verdict::NotRun) {
    shard.mStates.erase(state);
    return;
  }
  state->second = aVerdict == Verdict::Ran ? State::Ran : State::MayHaveRun;
  shard.mFinished.push_back({ aRequest, aNow });
  Trim(shard, aNow);
}

Verdict RequestRegister::Revoke(const RequestId& aRequest,
                                Duration aAge,
                                Instant aNow)
{
  Shard& shard = ShardOf(aRequest);
  const std::lock_guard lock(shard.mMutex);
  Trim(shard, aNow);
  if (const auto state = shard.mStates.find(aRequest);
      state != shard.mStates.end()) {
    switch (state->second) {
      case State::Ran:
        return Verdict::Ran;
      case State::InProgress:
      case State::MayHaveRun:
        return Verdict::MayHaveRun;
      case State::Revoked:
        return Verdict::NotRun;
    }
  }
  const bool mayBeDropped = aAge > aNow - shard.mDroppedBefore - kRevokeTransit;
  if (mayBeDropped || shard.mRevoked.size() >= mLimits.mMaxRevoked / kShards) {
    return Verdict::MayHaveRun;
  }
  shard.mStates.emplace(aRequest, State::Revoked);
  shard.mRevoked.push_back({ aRequest, aNow });
  return Verdict::NotRun;
}

std::size_t RequestRegister::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    size += shard.mStates.size();
  }
  return size;
}

void RequestRegister::Trim(Shard& aShard, Instant aNow) const
{
  while (!aShard.mFinished.empty()) {
    const Instant endedAt = aShard.mFinished.front().mAt;
    if (aShard.mFinished.size() <= mLimits.mMaxFinished / kShards &&
        endedAt + mLimits.mFinishedRetention > aNow) {
      break;
    }
    aShard.mDroppedBefore = std::max(aShard.mDroppedBefore, endedAt);
    DropOldest(aShard, aShard.mFinished);
  }
  while (!aShard.mRevoked.empty() &&
         aShard.mRevoked.front().mAt + mLimits.mRevokedRetention <= aNow) {
    DropOldest(aShard, aShard.mRevoked);
  }
}

void RequestRegister::DropOldest(Shard& aShard, std::deque<Ended>& aQueue)
{
  aShard.mStates.erase(aQueue.front().mRequest);
  aQueue.pop_front();
}

} // namespace foxtailbarrow
