#pragma once

#include <optional>
#include <vector>

#include "absl/container/flat_hash_set.h"

#include "src/core/contract/ConfigurationView.h"

namespace foxtailbarrow {

/// Maintains an agent's contracts from the deltas in heartbeat replies.
///
/// Inputs: deltas of any entries, in any order, repeated or lost. Outputs: the
/// contracts in force, and the revision to state in the next heartbeat to each
/// entry.
///
/// Guarantees: a customer's contract never reverts to an older revision,
/// removals included; a delta of an entry that is behind this agent is ignored;
/// as deltas arrive, the view converges to that of the entry.
///
/// Contracts that become or cease to be relevant without a change, and removals
/// that an entry missed, are detected by the digest. The agent then reads all
/// relevant contracts again from that entry (a resync, in steps, during which
/// the contracts in force stay) and drops those that were not included.
class ConfigurationFollower
{
public:
  /// Heartbeat::mConfiguration of the next heartbeat to this entry.
  Revision CursorFor(const EntryId& aEntry) const;

  /// Applies a delta from `aEntry`. `aFilter` is FilterFor() the heartbeat that
  /// it answers. Returns the customers whose contracts changed or were removed.
  std::vector<CustomerId> Apply(const EntryId& aEntry,
                                const ConfigurationDelta& aDelta,
                                const ContractFilter& aFilter);

  /// Contract in force, or null. May be outdated for a customer that is not
  /// relevant to the agent at present, until a resync.
  const Contract* Find(const CustomerId& aCustomer) const
  {
    return mView.Find(aCustomer);
  }

  /// Every relevant change up to this revision is applied.
  Revision Through() const { return mThrough; }

  bool Resyncing() const { return mResync.has_value(); }

private:
  struct Resync
  {
    EntryId mEntry;
    Revision mCursor = 0;
    /// Passes what was relevant to the agent at every step.
    ContractFilter mFilter;
    absl::flat_hash_set<CustomerId> mSeen;
    /// Entries whose digest differed since the last step.
    absl::flat_hash_set<EntryId> mMismatchingEntries;
  };

  void Merge(const ConfigurationDelta& aDelta,
             std::vector<CustomerId>& aChanged);
  bool IsComparable(const ConfigurationDelta& aDelta) const;
  void Compare(const EntryId& aEntry,
               const ConfigurationDelta& aDelta,
               const ContractFilter& aFilter);
  void BeginResync(const EntryId& aEntry, const ContractFilter& aFilter);
  bool IsNextStep(const EntryId& aEntry,
                  const ConfigurationDelta& aDelta) const;
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
