#include "apps/entry/StateViews.h"

#include <string>

#include "src/core/message/Codec.h"

namespace foxtailbarrow::entry {

namespace {

/// Limit on the jobs listed individually; the counts cover all jobs.
constexpr std::size_t kMaxListedJobs = 1000;

std::string Text(std::string_view aText)
{
  return std::string(aText);
}

Json::Int64 Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

Json::Value ToJsonView(const AgentRecord& aRecord, Instant aNow)
{
  Json::Value view(Json::objectValue);
  view["agent"] = aRecord.mAgent.Value();
  view["endpoint"] = ToString(aRecord.mEndpoint);
  view["service"] = aRecord.mService.Value();
  view["rack"] = aRecord.mRack.Value();
  view["failureDomain"] = aRecord.mFailureDomain.Value();
  view["state"] = Text(ToString(aRecord.mPhase));
  view["slots"] = aRecord.mLoad.mSlots;
  view["slotsInUse"] = aRecord.mLoad.mSlotsInUse;
  view["waiting"] = aRecord.mLoad.mWaiting;
  view["capacity"] = ToJson(aRecord.mLoad.mCapacity);
  view["reserved"] = ToJson(aRecord.mLoad.mReserved);
  view["configuration"] = Json::Int64(aRecord.mConfiguration);
  view["ageMs"] = Milliseconds(aNow - aRecord.mHeartbeatAt);
  if (aRecord.mRoutingState != nullptr) {
    view["inFlightHere"] = aRecord.mRoutingState->mLoad.InFlight();
    const AgentHealth& health = aRecord.mRoutingState->mHealth;
    if (health.mState == HealthState::Ejected) {
      view["reason"] = Text(ToString(health.mReason.load()));
    }
  }
  return view;
}

} // namespace

Json::Value AgentsView(const AgentDirectory& aDirectory,
                       const JobScheduler& aScheduler,
                       Instant aNow)
{
  Json::Value list(Json::arrayValue);
  for (const AgentRecord* record : aDirectory.Agents()) {
    Json::Value view = ToJsonView(*record, aNow);
    if (const auto slot = aScheduler.Workers().SlotOf(record->mAgent);
        slot && aScheduler.Workers().At(*slot).mQuarantined) {
      view["reason"] = Text(ToString(Reason::Quarantined));
    }
    list.append(std::move(view));
  }
  return list;
}

Json::Value JobsView(const JobScheduler& aScheduler)
{
  Json::Value view(Json::objectValue);
  view["counts"] = Json::Value(Json::objectValue);
  view["waiting"] = Json::Value(Json::arrayValue);
  aScheduler.Jobs().ForEach([&view](const JobEntry& aEntry) {
    const std::string state = Text(ToString(aEntry.Record().mState));
    view["counts"][state] = view["counts"][state].asInt() + 1;
    const bool waits = !aEntry.IsAssigned() && !IsFinal(aEntry.Record().mState);
    if (waits && view["waiting"].size() < kMaxListedJobs) {
      Json::Value job(Json::objectValue);
      job["id"] = aEntry.Spec().mId.Value();
      job["state"] = state;
      const auto decisions = aEntry.mDecisions.Entries();
      job["reason"] =
        Text(decisions.empty() ? ToString(Reason::None)
                               : ToString(decisions.back().mReason));
      view["waiting"].append(std::move(job));
    }
  });
  return view;
}

Json::Value OwnershipView(const ShardOwnership& aOwnership, Instant aNow)
{
  Json::Value view(Json::objectValue);
  view["confirmed"] = aOwnership.Roster().Confirmed(aNow);
  view["stretched"] = aOwnership.ExtendedByVoters(aNow);
  view["openTenures"] = Json::UInt64(aOwnership.OpenTenures());
  view["entries"] = Json::Value(Json::arrayValue);
  for (const LiveEntry& entry : aOwnership.Roster().Live()) {
    Json::Value item(Json::objectValue);
    item["entry"] = entry.mRecord.mEntry.Value();
    item["endpoint"] = ToString(entry.mRecord.mEndpoint);
    view["entries"].append(std::move(item));
  }
  view["shards"] = Json::Value(Json::arrayValue);
  for (const auto& [shard, held] : aOwnership.Held()) {
    Json::Value item(Json::objectValue);
    item["shard"] = shard;
    item["mayExtend"] = aOwnership.MayExtend(shard, aNow);
    item["mayReassign"] = aOwnership.MayReassign(shard, aNow);
    view["shards"].append(std::move(item));
  }
  return view;
}

Json::Value ContractsView(const ContractTable& aTable,
                          const ShareAllocation& aShares,
                          Revision aAsOf,
                          Instant aNow)
{
  Json::Value view(Json::objectValue);
  view["asOfRevision"] = Json::Int64(aAsOf);
  view["standingShare"] = aShares.mSlot.has_value();
  view["leaseShare"] = HasLeasePart(aShares, aNow);
  view["customers"] = Json::Value(Json::arrayValue);
  for (const auto& [customer, state] : aTable.mCustomers) {
    Json::Value item(Json::objectValue);
    item["contract"] = ToJson(*state.mContract);
    item["inProgressHere"] = Json::Int64(state.mAdmission->InProgress());
    item["usableConcurrencyHere"] =
      Json::Int64(UsableShare(state.mContract->mMaxConcurrency, aShares, aNow));
    view["customers"].append(std::move(item));
  }
  return view;
}

} // namespace foxtailbarrow::entry
