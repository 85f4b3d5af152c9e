#pragma once

#include <optional>
#include <vector>

#include "absl/container/flat_hash_set.h"

#include "src/core/contract/ConfigurationView.h"

namespace foxtailbarrow {

/// Keeps an agent's contracts after the deltas that heartbeat replies carry.
///
/// Inputs: deltas of any entries, in any order, repeated or lost. Outputs: the
/// contracts in force, and what to state in the next heartbeat to each entry.
///
/// Promises: a customer's contract never goes back to an older revision,
/// removals included; a delta of an entry that is behind this agent is ignored
/// as a whole; once deltas arrive, the view becomes that of the entry.
///
/// Contracts that begin or cease to concern the agent without a change, and
/// removals that an entry did not see, show in the digest. The agent then reads
/// all that concern it anew from that one entry (a resync, in steps, while the
/// contracts in force stay) and drops those that were not among them.
class ConfigurationFollower
{
public:
  /// What to state as Heartbeat::mConfiguration to this entry.
  Revision CursorFor(const EntryId& aEntry) const;

  /// Applies a delta from `aEntry`. `aFilter` is FilterFor() the heartbeat that
  /// it answers. Returns the customers whose contracts changed or went.
  std::vector<CustomerId> Apply(const EntryId& aEntry,
                                const ConfigurationDelta& aDelta,
                                const ContractFilter& aFilter);

  /// Contract in force; null where there is none. May be outdated for a
  /// customer that does not concern the agent at the time, until a resync.
  const Contract* Find(const CustomerId& aCustomer) const
  {
    return mView.Find(aCustomer);
  }

  /// Every change up to here that concerns this agent is applied.
  Revision Through() const { return mThrough; }

  bool Resyncing() const { return mResync.has_value(); }

private:
  struct Resync
  {
    EntryId mEntry;
    Revision mCursor = 0;
    /// Passes what concerned the agent at every step.
    ContractFilter mFilter;
    absl::flat_hash_set<CustomerId> mSeen;
    /// Entries that disagreed since the last step.
    absl::flat_hash_set<EntryId> mDisagreeing;
  };

  void Merge(const ConfigurationDelta& aDelta,
             std::vector<CustomerId>& aChanged);
  bool IsComparable(const ConfigurationDelta& aDelta) const;
  void Compare(const EntryId& aEntry,
               const ConfigurationDelta& aDelta,
               const ContractFilter& aFilter);
  void BeginResync(const EntryId& aEntry, const ContractFilter& aFilter);
  bool IsStep(const EntryId& aEntry, const ConfigurationDelta& aDelta) const;
  void ApplyStep(const ConfigurationDelta& aDelta,
                 const ContractFilter& aFilter,
                 std::vector<CustomerId>& aChanged);
  void DropUnseen(Revision aAsOf, std::vector<CustomerId>& aChanged);
  void ChooseSource(const EntryId& aEntry, const ContractFilter& aFilter);

  ConfigurationView mView;
  Revision mThrough = 0;
  std::optional<Resync> mResync;
};

} // namespace foxtailbarrow
