#include "src/core/cell/crashes/CrashTrials.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

constexpr std::size_t kMinTrials = 2;
constexpr std::size_t kWorkersPerStrong = 8;
constexpr std::size_t kWorkersPerOther = 2;

std::size_t MaxTrials(Suspicion aSuspicion, std::size_t aWorkers)
{
  const std::size_t each =
    aSuspicion == Suspicion::Strong ? kWorkersPerStrong : kWorkersPerOther;
  return std::max(kMinTrials, aWorkers / each);
}

} // namespace

void CrashTrials::Plan(const AgentId& aAgent,
                       const SuspectStart& aStart,
                       Instant aNow)
{
  std::erase_if(mPlanned, [&](const auto& aPlanned) {
    return aPlanned.second.mUntil <= aNow ||
           aPlanned.second.mStart.mRun.mTask == aStart.mRun.mTask;
  });
  mPlanned.insert_or_assign(aAgent, PlannedTrial{ aStart, aNow + kPlanTime });
}

bool CrashTrials::IsOfGang(const SuspectStart& aTrial,
                           const TaskRef& aTask,
                           RunNumber aGangRun)
{
  return aTrial.mGang && aTrial.mRun.mRun == aGangRun &&
         GangOf(aTrial.mRun.mTask) == GangOf(aTask);
}

void CrashTrials::Begin(const AgentId& aAgent, const SuspectStart& aStart)
{
  std::vector<SuspectStart>& trials = mTrials[aAgent];
  const RunNumber gangRun = aStart.mGang ? aStart.mRun.mRun : 0;
  if (!trials.empty() &&
      !IsOfGang(trials.front(), aStart.mRun.mTask, gangRun)) {
    trials.clear();
  }
  trials.push_back(aStart);
  std::erase_if(mPlanned, [&](const auto& aPlanned) {
    return aPlanned.second.mStart.mRun.mTask == aStart.mRun.mTask;
  });
  std::erase_if(mReserved, [&](const auto& aReserved) {
    return aReserved.second.mTask == aStart.mRun.mTask;
  });
}

void CrashTrials::End(const AgentId& aAgent, const RunRef& aRun)
{
  const auto found = mTrials.find(aAgent);
  if (found == mTrials.end()) {
    return;
  }
  std::erase_if(found->second, [&](const SuspectStart& aTrial) {
    return aTrial.mRun == aRun;
  });
  if (found->second.empty()) {
    mTrials.erase(found);
  }
}

bool CrashTrials::IsTrial(const AgentId& aAgent, const RunRef& aRun) const
{
  const auto found = mTrials.find(aAgent);
  return found != mTrials.end() &&
         std::ranges::find(found->second, aRun, &SuspectStart::mRun) !=
           found->second.end();
}

bool CrashTrials::AllowsStart(const AgentId& aAgent,
                              const TaskRef& aTask,
                              Suspicion aSuspicion,
                              Instant aNow,
                              RunNumber aGangRun) const
{
  if (const auto reserved = mReserved.find(aAgent);
      reserved != mReserved.end() && aNow < reserved->second.mUntil &&
      reserved->second.mTask != aTask && !HasTurn(aTask, aNow)) {
    return false;
  }
  const auto allowsBeside = [&](const SuspectStart& aTrial) {
    return IsOfGang(aTrial, aTask, aGangRun) ||
           (aSuspicion == Suspicion::None &&
            aTrial.mSuspicion == Suspicion::Weak);
  };
  if (const auto planned = mPlanned.find(aAgent);
      planned != mPlanned.end() && aNow < planned->second.mUntil &&
      planned->second.mStart.mRun.mTask != aTask &&
      !allowsBeside(planned->second.mStart)) {
    return false;
  }
  const auto found = mTrials.find(aAgent);
  return found == mTrials.end() ||
         std::ranges::all_of(found->second, allowsBeside);
}

bool CrashTrials::HasTurn(const TaskRef& aTask, Instant aNow) const
{
  return aNow < mTurnUntil && GangOf(aTask) == mTurn;
}

bool CrashTrials::AwaitsTurn(const TaskRef& aTask, Instant aNow) const
{
  return aNow < mTurnUntil && GangOf(aTask) != mTurn;
}

bool CrashTrials::ClaimTurn(const TaskRef& aMember, Instant aNow)
{
  const TaskRef gang = GangOf(aMember);
  std::erase_if(mClaims, [aNow](const auto& aClaim) {
    return aNow - aClaim.second.mSeenAt >= kTurnTime;
  });
  const auto isCurrent = [aNow](const auto& aEntry) {
    return aNow < aEntry.second.mUntil;
  };
  if (mTrials.empty() && std::ranges::none_of(mPlanned, isCurrent) &&
      std::ranges::none_of(mReserved, isCurrent)) {
    return false; // It waits for something else.
  }
  const auto [claim, isNew] = mClaims.try_emplace(gang, Claim{ aNow, aNow });
  claim->second.mSeenAt = aNow;
  const bool mayBegin = aNow >= mTurnUntil + (mTurnUntil - mTurnBegan);
  if (!mayBegin) {
    return false;
  }
  const auto first = std::ranges::min_element(
    mClaims, {}, [](const auto& aClaim) { return aClaim.second.mSince; });
  if (first->first != gang) {
    return false;
  }
  // If the turn passes without a start, the gang is the last in the queue.
  claim->second.mSince = aNow + kGangTurnTime;
  mTurn = gang;
  mTurnBegan = aNow;
  mTurnUntil = aNow + kGangTurnTime;
  return true;
}

void CrashTrials::EndTurn(const TaskRef& aMember, Instant aNow)
{
  const TaskRef gang = GangOf(aMember);
  mClaims.erase(gang);
  if (mTurn == gang && aNow < mTurnUntil) {
    mTurnUntil = aNow;
  }
}

std::vector<const SuspectStart*> CrashTrials::TrialsBeside(const TaskRef& aTask,
                                                           Instant aNow) const
{
  std::vector<const SuspectStart*> trials;
  for (const auto& [agent, ofWorker] : mTrials) {
    trials.push_back(
      &*std::ranges::max_element(ofWorker, {}, &SuspectStart::mSuspicion));
  }
  for (const auto& [agent, planned] : mPlanned) {
    if (planned.mStart.mRun.mTask != aTask && aNow < planned.mUntil) {
      trials.push_back(&planned.mStart);
    }
  }
  return trials;
}

bool CrashTrials::MayBegin(const SuspectStart& aStart,
                           std::size_t aWorkers,
                           Instant aNow)
{
  if (AwaitsTurn(aStart.mRun.mTask, aNow)) {
    return false;
  }
  std::size_t ofKind = 0;
  std::size_t ofQueue = 0;
  bool ofGang = false;
  for (const SuspectStart* trial : TrialsBeside(aStart.mRun.mTask, aNow)) {
    if (trial->mSuspicion == aStart.mSuspicion) {
      ++ofKind;
      ofQueue += trial->mQueue == aStart.mQueue ? 1 : 0;
    }
    if (trial->mRun.mTask.mJob != aStart.mRun.mTask.mJob) {
      continue;
    }
    if (trial->mRun.mRun != aStart.mRun.mRun ||
        trial->mRun.mTask == aStart.mRun.mTask) {
      return false;
    }
    ofGang = true;
  }
  const std::size_t limit = MaxTrials(aStart.mSuspicion, aWorkers);
  if (ofGang) {
    return true;
  }
  if (ofKind >= limit) {
    mRejectedAt[{ aStart.mQueue, aStart.mSuspicion }] = aNow;
    return false;
  }
  return ofQueue < limit / 2 || !OtherQueuesWait(aStart, aNow);
}

bool CrashTrials::OtherQueuesWait(const SuspectStart& aStart,
                                  Instant aNow) const
{
  return std::ranges::any_of(mRejectedAt, [&](const auto& aEntry) {
    const auto& [queue, suspicion] = aEntry.first;
    return queue != aStart.mQueue && suspicion == aStart.mSuspicion &&
           aNow - aEntry.second < kTurnTime;
  });
}

bool CrashTrials::Reserve(const AgentId& aAgent,
                          const TaskRef& aTask,
                          std::size_t aWorkers,
                          Instant aNow)
{
  std::erase_if(mReserved, [aNow](const auto& aReserved) {
    return aReserved.second.mUntil <= aNow;
  });
  const bool reserved =
    std::ranges::any_of(mReserved, [&](const auto& aReserved) {
      return aReserved.second.mTask == aTask;
    });
  if (reserved || mReserved.contains(aAgent) || AwaitsTurn(aTask, aNow) ||
      mReserved.size() >= MaxTrials(Suspicion::Strong, aWorkers)) {
    return false;
  }
  mReserved.emplace(aAgent, Reservation{ aTask, aNow + kReservationTime });
  return true;
}

} // namespace foxtailbarrow::cell
