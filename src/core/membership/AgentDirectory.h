#pragma once

#include <cstddef>
#include <memory>
#include <tuple>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/membership/AgentRecord.h"
#include "src/core/membership/DirectorySettings.h"
#include "src/core/membership/MembershipEvent.h"
#include "src/core/routing/RoutingTable.h"

namespace foxtailbarrow {

/// Decides which agents an entry knows and which of them get requests. Inputs:
/// heartbeats and the passing of time. Output: routing tables. One thread.
///
/// Promises:
/// - The outcome depends on which heartbeats were applied, not on their order:
///   per agent the one with the greatest (incarnation, sequence) counts, per
///   address the agent with the greatest (incarnation, id) holds it.
/// - A draining agent is in no table made after its heartbeat was applied.
/// - A silent agent becomes Suspect, then Gone, then forgotten; state is
///   bounded by the agents heard of within the forgetting time.
/// - A table is made anew only when membership changed; load reports go into
///   the gauges that all tables share.
///
/// Survives: lost, repeated and reordered heartbeats, restarts at the same
/// address, replaced VMs, a rack lost at once, all agents restarting at once,
/// and a pause of this process, which is not taken for the agents' silence.
class AgentDirectory
{
public:
  explicit AgentDirectory(DirectorySettings aSettings = {});

  /// The interval at which agents now send; see HeartbeatInterval(). To be
  /// called whenever the number of live entries changed.
  void ExpectInterval(Duration aInterval);

  /// True until an entry that starts among running agents has heard of all of
  /// them. While it holds, an entry should not report itself ready: it would
  /// take an agent for the holder of an idempotency key that is not.
  bool IsDiscovering(Instant aNow) const;

  HeartbeatEffect Apply(const Heartbeat& aHeartbeat, Instant aNow);

  /// Call at least each heartbeat interval.
  void Advance(Instant aNow);

  /// Changes of phase since the last call, by Apply() and Advance().
  std::vector<MembershipEvent> TakeEvents();

  /// True when Table() would differ from the last one returned.
  bool Changed() const { return !mDirty.empty(); }

  /// The table as of now. Rebuilds the services that changed: for each, time
  /// in proportion to its agents. Publish it at once after a drain; after other
  /// changes a delay up to 100 ms saves work when many agents change at once.
  std::shared_ptr<const RoutingTable> Table();

  /// Null when unknown. Valid until the next Apply() or Advance().
  const AgentRecord* Find(const AgentId& aAgent) const;

  /// Every known agent, in no order. Valid as for Find().
  std::vector<const AgentRecord*> Agents() const;

private:
  using Record = std::unique_ptr<AgentRecord>;

  /// Which agent holds an address.
  struct Claim
  {
    Incarnation mIncarnation = 0;
    AgentId mAgent;

    bool IsAtLeast(const Claim& aOther) const
    {
      return std::tie(mIncarnation, mAgent) >=
             std::tie(aOther.mIncarnation, aOther.mAgent);
    }
  };

  /// By failure domain, then id, as ServiceTable wants them; neither changes
  /// while an incarnation is listed.
  struct InTableOrder
  {
    bool operator()(const AgentRecord* aLeft, const AgentRecord* aRight) const
    {
      return std::tie(aLeft->mFailureDomain, aLeft->mAgent) <
             std::tie(aRight->mFailureDomain, aRight->mAgent);
    }
  };

  struct Service
  {
    absl::btree_set<AgentRecord*, InTableOrder> mAgents;
    std::vector<FormerAgent> mFormer;
    Instant mStartedAt = Instant::max(); ///< Its first serving agent.
    std::shared_ptr<ServiceHealth> mHealth;
  };

  void ClaimAddress(const Heartbeat& aHeartbeat, Instant aNow);
  bool HoldsAddress(const AgentRecord& aRecord) const;
  void StartIncarnation(AgentRecord& aRecord,
                        const Heartbeat& aHeartbeat,
                        Instant aNow);
  void ApplyNewest(AgentRecord& aRecord,
                   const Heartbeat& aHeartbeat,
                   Instant aNow);
  AgentPhase PhaseOf(const AgentRecord& aRecord, Instant aNow) const;
  void UpdatePhase(AgentRecord& aRecord, Instant aNow);
  void Route(AgentRecord& aRecord, Instant aNow);
  void Unroute(AgentRecord& aRecord, bool aReachable, Instant aNow);
  void DiscountOwnPause(Instant aNow);
  void ForgetOld(Instant aNow);
  void ForgetFormer(Instant aNow);
  Service& ServiceOf(const ServiceId& aService);
  std::shared_ptr<const ServiceTable> Build(const ServiceId& aId,
                                            const Service& aService) const;

  DirectorySettings mSettings;
  absl::flat_hash_map<AgentId, Record> mRecords;
  absl::flat_hash_map<Endpoint, Claim> mClaims;
  absl::flat_hash_map<ServiceId, Service> mServices;
  absl::flat_hash_set<ServiceId> mDirty;
  std::shared_ptr<const RoutingTable> mTable;
  std::vector<MembershipEvent> mEvents;
  Instant mAdvancedAt{};
  Instant mStartedAt = Instant::max(); ///< First heartbeat.
};

} // namespace foxtailbarrow
