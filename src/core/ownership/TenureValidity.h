#pragma once

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// Determines how long this entry may act under its tenure.
///
/// A successful store round makes the tenure valid for `mValidity`. While the
/// store is unreachable, attestations of a majority of the recorded voters
/// extend it.
/// Guarantees that after the validity has lapsed, only the store can renew the
/// tenure, never attestations, and that no extension goes beyond
/// `mMaxExtension` after the last round.
/// Rounds and attestations are timestamped by the sending of their requests, so
/// pauses and late replies cannot prolong the validity.
class TenureValidity
{
public:
  TenureValidity(const OwnershipSettings& aSettings, EntryId aSelf);

  /// A tenure began with `aVoters` in its store record.
  void Begin(StoreLease aTenure, Voters aVoters);
  void End();

  /// A store round that began at `aStarted` succeeded.
  void Confirm(Instant aStarted);

  /// The record may now contain `aVoters`. Until SetVoters(), a majority of
  /// every voter list that it may contain is required.
  void AddPossibleVoters(Voters aVoters);

  /// The record contains `aVoters` and no older write is in flight.
  void SetVoters(Voters aVoters);

  /// Requests attestations when a store round is late. `aRoster` provides the
  /// endpoints.
  void Advance(const EntryRoster& aRoster,
               Instant aNow,
               OwnershipActions& aOut);

  void OnReply(const AttestReply& aReply);

  /// This entry promised not to attest its own tenure; only the store can
  /// renew it.
  void OnOwnPromise() { mLapsed = true; }

  /// Detects that the tenure has lapsed. True when it is no longer valid.
  bool CheckLapsed(Instant aNow);

  /// True while this entry may act under its tenure.
  bool Holds(Instant aNow) const;

  /// True while the tenure is valid only by attestations.
  bool ExtendedByVoters(Instant aNow) const;

private:
  std::optional<Instant> MajorityAttestedAt(const Voters& aVoters,
                                            Instant aNow) const;
  std::optional<Instant> ExtendedUntil(Instant aNow) const;
  void Send(const EntryRoster& aRoster, Instant aNow, OwnershipActions& aOut);

  OwnershipSettings mSettings;
  EntryId mSelf;
  std::optional<StoreLease> mTenure;
  std::vector<Voters> mVoterSets;
  std::optional<Instant> mConfirmed;
  bool mLapsed = true;
  std::uint64_t mSequence = 0;
  Instant mLastSent{};
  /// Recent requests by sequence, and the newest one that each voter attested.
  absl::flat_hash_map<std::uint64_t, Instant> mSent;
  absl::flat_hash_map<EntryId, Instant> mAttested;
};

} // namespace foxtailbarrow
