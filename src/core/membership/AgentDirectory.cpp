#include "src/core/membership/AgentDirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "src/core/routing/StableHash.h"

namespace foxtailbarrow {

namespace {

/// Divisor of the newest gap in the moving average of the interval.
constexpr int kIntervalSmoothing = 4;

/// A gap counts as at most this many times the learned interval, so that one
/// pause of an agent does not inflate its interval for long.
constexpr int kMaxGapIntervals = 4;

bool IsNewer(const Heartbeat& aHeartbeat, const AgentRecord& aRecord)
{
  return std::tie(aHeartbeat.mIncarnation, aHeartbeat.mSequence) >
         std::tie(aRecord.mIncarnation, aRecord.mSequence);
}

bool IsRoutable(AgentPhase aPhase)
{
  return aPhase == AgentPhase::Serving || aPhase == AgentPhase::Suspect;
}

Duration LearnInterval(Duration aKnown, Duration aGap, Duration aShortest)
{
  const Duration bounded = std::min(aGap, aKnown * kMaxGapIntervals);
  const Duration step = (bounded - aKnown) / kIntervalSmoothing;
  return std::max(aKnown + step, aShortest);
}

} // namespace

AgentDirectory::AgentDirectory(DirectorySettings aSettings)
  : mSettings(aSettings)
  , mTable(std::make_shared<RoutingTable>())
{
}

void AgentDirectory::ExpectInterval(Duration aInterval)
{
  mSettings.mHeartbeatInterval = aInterval;
}

HeartbeatEffect AgentDirectory::Apply(const Heartbeat& aHeartbeat, Instant aNow)
{
  mStartedAt = std::min(mStartedAt, aNow);
  ClaimAddress(aHeartbeat, aNow);
  auto [found, isNew] = mRecords.try_emplace(aHeartbeat.mAgent);
  if (isNew) {
    found->second = std::make_unique<AgentRecord>();
    found->second->mAgent = aHeartbeat.mAgent;
  }
  AgentRecord& record = *found->second;
  if (!isNew && !IsNewer(aHeartbeat, record)) {
    return HeartbeatEffect::Outdated;
  }
  const bool isRestart = aHeartbeat.mIncarnation != record.mIncarnation;
  if (isRestart || isNew) {
    StartIncarnation(record, aHeartbeat, aNow);
  }
  ApplyNewest(record, aHeartbeat, aNow);
  UpdatePhase(record, aNow);
  if (isNew) {
    return HeartbeatEffect::Added;
  }
  return isRestart ? HeartbeatEffect::Restarted : HeartbeatEffect::Updated;
}

void AgentDirectory::ClaimAddress(const Heartbeat& aHeartbeat, Instant aNow)
{
  Claim claim{ aHeartbeat.mIncarnation, aHeartbeat.mAgent };
  auto [found, isNew] = mClaims.try_emplace(aHeartbeat.mEndpoint, claim);
  if (isNew || found->second.IsAtLeast(claim)) {
    return;
  }
  const AgentId previous = std::exchange(found->second, claim).mAgent;
  if (const auto loser = mRecords.find(previous);
      loser != mRecords.end() && previous != aHeartbeat.mAgent) {
    UpdatePhase(*loser->second, aNow);
  }
}

bool AgentDirectory::HoldsAddress(const AgentRecord& aRecord) const
{
  const auto claim = mClaims.find(aRecord.mEndpoint);
  return claim == mClaims.end() || claim->second.mAgent == aRecord.mAgent;
}

void AgentDirectory::StartIncarnation(AgentRecord& aRecord,
                                      const Heartbeat& aHeartbeat,
                                      Instant aNow)
{
  if (aRecord.mRoutingState != nullptr) {
    Unroute(aRecord, false, aNow);
    ServiceOf(aRecord.mService).mAgents.erase(&aRecord);
  }
  aRecord.mIncarnation = aHeartbeat.mIncarnation;
  aRecord.mEndpoint = aHeartbeat.mEndpoint;
  aRecord.mService = aHeartbeat.mService;
  aRecord.mRack = aHeartbeat.mRack;
  aRecord.mFailureDomain = aHeartbeat.mFailureDomain;
  aRecord.mPhase = AgentPhase::Starting;
  aRecord.mHeartbeatAt = aNow;
  aRecord.mInterval = mSettings.mHeartbeatInterval;
  aRecord.mRoutingState = std::make_shared<AgentRoutingState>();
  ServiceOf(aRecord.mService).mAgents.insert(&aRecord);
}

void AgentDirectory::ApplyNewest(AgentRecord& aRecord,
                                 const Heartbeat& aHeartbeat,
                                 Instant aNow)
{
  aRecord.mInterval = LearnInterval(aRecord.mInterval,
                                    aNow - aRecord.mHeartbeatAt,
                                    mSettings.mHeartbeatInterval);
  aRecord.mHeartbeatAt = aNow;
  aRecord.mSequence = aHeartbeat.mSequence;
  aRecord.mState = aHeartbeat.mState;
  aRecord.mLoad = aHeartbeat.mLoad;
  aRecord.mConfiguration = aHeartbeat.mConfiguration;
  aRecord.mRoutingState->mLoad.Report(ToLoadSnapshot(aHeartbeat.mLoad), aNow);
}

AgentPhase AgentDirectory::PhaseOf(const AgentRecord& aRecord,
                                   Instant aNow) const
{
  const Duration silence = aNow - aRecord.mHeartbeatAt;
  if (!HoldsAddress(aRecord) ||
      silence > aRecord.mInterval * mSettings.mGoneAfter) {
    return AgentPhase::Gone;
  }
  switch (aRecord.mState) {
    case ServingState::Starting:
      return AgentPhase::Starting;
    case ServingState::Draining:
      return AgentPhase::Draining;
    case ServingState::Serving:
      break;
  }
  const Duration limit = aRecord.mInterval * mSettings.mSuspectAfter;
  return silence > limit ? AgentPhase::Suspect : AgentPhase::Serving;
}

void AgentDirectory::UpdatePhase(AgentRecord& aRecord, Instant aNow)
{
  const AgentPhase next = PhaseOf(aRecord, aNow);
  const AgentPhase last = std::exchange(aRecord.mPhase, next);
  if (next == last) {
    return;
  }
  mEvents.push_back({ aRecord.mAgent, aRecord.mIncarnation, last, next });
  mDirty.insert(aRecord.mService);
  if (IsRoutable(next)) {
    Route(aRecord, aNow);
  } else {
    Unroute(aRecord, next == AgentPhase::Draining, aNow);
  }
}

void AgentDirectory::Route(AgentRecord& aRecord, Instant aNow)
{
  if (aRecord.mRoutable != nullptr) {
    return;
  }
  Service& service = ServiceOf(aRecord.mService);
  service.mStartedAt = std::min(service.mStartedAt, aNow);
  const bool isDiscovering =
    service.mStartedAt > aNow - mSettings.mDiscoveryTime;
  std::erase_if(service.mFormer, [&](const FormerAgent& aFormer) {
    return aFormer.mAgent->mRoutingState == aRecord.mRoutingState;
  });
  aRecord.mRoutable = std::make_shared<RoutableAgent>(
    RoutableAgent{ aRecord.mAgent,
                   aRecord.mIncarnation,
                   aRecord.mEndpoint,
                   aRecord.mService,
                   aRecord.mRack,
                   aRecord.mFailureDomain,
                   aNow,
                   isDiscovering ? Instant::min() : aNow,
                   StableHash(aRecord.mAgent.Value()),
                   aRecord.mRoutingState,
                   service.mHealth });
}

bool AgentDirectory::IsDiscovering(Instant aNow) const
{
  return mStartedAt > aNow - mSettings.mDiscoveryTime;
}

void AgentDirectory::Unroute(AgentRecord& aRecord,
                             bool aReachable,
                             Instant aNow)
{
  std::vector<FormerAgent>& former = ServiceOf(aRecord.mService).mFormer;
  if (aRecord.mRoutable != nullptr) {
    former.push_back({ std::move(aRecord.mRoutable), aNow, aReachable });
    aRecord.mRoutable = nullptr;
    mDirty.insert(aRecord.mService);
    return;
  }
  for (FormerAgent& agent : former) {
    if (agent.mAgent->mRoutingState == aRecord.mRoutingState && !aReachable) {
      agent.mReachable = false;
      mDirty.insert(aRecord.mService);
    }
  }
}

void AgentDirectory::Advance(Instant aNow)
{
  DiscountOwnPause(aNow);
  for (const auto& [id, record] : mRecords) {
    UpdatePhase(*record, aNow);
  }
  ForgetGone(aNow);
  ForgetFormer(aNow);
}

void AgentDirectory::DiscountOwnPause(Instant aNow)
{
  const Instant last = std::exchange(mAdvancedAt, aNow);
  const Duration pause = aNow - last - mSettings.mMaxAdvanceInterval;
  if (last == Instant{} || pause <= Duration::zero()) {
    return;
  }
  for (const auto& [id, record] : mRecords) {
    record->mHeartbeatAt = std::min(record->mHeartbeatAt + pause, aNow);
  }
}

void AgentDirectory::ForgetGone(Instant aNow)
{
  absl::erase_if(mRecords, [&](const auto& aEntry) {
    AgentRecord& record = *aEntry.second;
    if (record.mPhase != AgentPhase::Gone ||
        aNow - record.mHeartbeatAt <= mSettings.mForgetAfter) {
      return false;
    }
    ServiceOf(record.mService).mAgents.erase(&record);
    return true;
  });
  absl::erase_if(mClaims, [&](const auto& aEntry) {
    return !mRecords.contains(aEntry.second.mAgent);
  });
}

void AgentDirectory::ForgetFormer(Instant aNow)
{
  for (auto& [id, service] : mServices) {
    const auto isOld = [&](const FormerAgent& aAgent) {
      return aNow - aAgent.mRoutableUntil > mSettings.mKeyWindow;
    };
    if (std::erase_if(service.mFormer, isOld) > 0) {
      mDirty.insert(id);
    }
  }
  absl::erase_if(mServices, [&](const auto& aEntry) {
    const auto& [id, service] = aEntry;
    const bool empty = service.mAgents.empty() && service.mFormer.empty();
    if (empty) {
      mDirty.insert(id);
    }
    return empty;
  });
}

AgentDirectory::Service& AgentDirectory::ServiceOf(const ServiceId& aService)
{
  Service& service = mServices[aService];
  if (service.mHealth == nullptr) {
    service.mHealth = std::make_shared<ServiceHealth>();
  }
  return service;
}

std::vector<MembershipEvent> AgentDirectory::TakeEvents()
{
  return std::exchange(mEvents, {});
}

std::shared_ptr<const RoutingTable> AgentDirectory::Table()
{
  if (mDirty.empty()) {
    return mTable;
  }
  RoutingTable::Services services = mTable->All();
  for (const ServiceId& id : mDirty) {
    if (const auto found = mServices.find(id); found != mServices.end()) {
      services[id] = Build(id, found->second);
    } else {
      services.erase(id);
    }
  }
  mDirty.clear();
  mTable = std::make_shared<RoutingTable>(std::move(services));
  return mTable;
}

std::shared_ptr<const ServiceTable> AgentDirectory::Build(
  const ServiceId& aId,
  const Service& aService) const
{
  std::vector<RoutableAgentPointer> serving;
  std::vector<RoutableAgentPointer> suspect;
  for (const AgentRecord* record : aService.mAgents) {
    if (record->mPhase == AgentPhase::Serving) {
      serving.push_back(record->mRoutable);
    } else if (record->mPhase == AgentPhase::Suspect) {
      suspect.push_back(record->mRoutable);
    }
  }
  return BuildServiceTable(aId,
                           std::move(serving),
                           std::move(suspect),
                           aService.mFormer,
                           aService.mHealth);
}

const AgentRecord* AgentDirectory::Find(const AgentId& aAgent) const
{
  const auto found = mRecords.find(aAgent);
  return found == mRecords.end() ? nullptr : found->second.get();
}

std::vector<const AgentRecord*> AgentDirectory::Agents() const
{
  std::vector<const AgentRecord*> agents;
  agents.reserve(mRecords.size());
  for (const auto& [id, record] : mRecords) {
    agents.push_back(record.get());
  }
  return agents;
}

} // namespace foxtailbarrow
