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

/// Tracks the agents known to an entry and decides which of them get requests.
/// Inputs: heartbeats and the current time. Output: routing tables. Not
/// thread-safe.
///
/// Guarantees:
/// - The result depends on which heartbeats were applied, not on their order:
///   per agent the one with the greatest (incarnation, sequence) counts, and an
///   address belongs to the agent with the greatest (incarnation, id).
/// - A draining agent is in no table built after its heartbeat was applied.
/// - An agent without heartbeats becomes Suspect, then Gone, then is deleted;
///   state is bounded by the agents active within
///   DirectorySettings::mForgetAfter.
/// - A table is rebuilt only if membership changed; load reports go into the
///   AgentRoutingState that all tables share.
///
/// Tolerates lost, repeated and reordered heartbeats, restarts at the same
/// address, replaced VMs, the loss of a whole rack, a simultaneous restart of
/// all agents, and a pause of this process, which does not count as missing
/// heartbeats.
class AgentDirectory
{
public:
  explicit AgentDirectory(DirectorySettings aSettings = {});

  /// Sets the interval at which agents send; see HeartbeatInterval(). Must be
  /// called whenever the number of live entries changes.
  void ExpectInterval(Duration aInterval);

  /// True while an entry that started among running agents has not discovered
  /// all of them. Until then it should not report itself ready: it could select
  /// the wrong agent as the holder of an idempotency key.
  bool IsDiscovering(Instant aNow) const;

  HeartbeatEffect Apply(const Heartbeat& aHeartbeat, Instant aNow);

  /// Must be called at least once per heartbeat interval.
  void Advance(Instant aNow);

  /// Returns the phase changes since the last call, by Apply() and Advance().
  std::vector<MembershipEvent> TakeEvents();

  /// True if Table() would differ from the last one returned.
  bool Changed() const { return !mDirty.empty(); }

  /// The current table. Rebuilds the services that changed, each in time linear
  /// in its agents. Must be published at once after a drain; after other
  /// changes a delay of up to 100 ms saves work if many agents change together.
  std::shared_ptr<const RoutingTable> Table();

  /// Null if unknown. Valid until the next Apply() or Advance().
  const AgentRecord* Find(const AgentId& aAgent) const;

  /// All known agents, unordered. Valid until the next Apply() or Advance().
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

  /// By failure domain, then id, as ServiceTable requires; neither changes
  /// during an incarnation.
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
    /// When its first agent became routable.
    Instant mStartedAt = Instant::max();
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
  void ForgetGone(Instant aNow);
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
