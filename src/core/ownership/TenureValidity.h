#pragma once

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// How long this entry may act under its tenure.
///
/// Decides: until when the tenure holds. A round of the store carries it by the
/// validity; while the store is out of reach, attestations of a majority of the
/// recorded voters carry it on, each dated by the sending of its request.
/// Promise: once there was a gap, only the store can revive the tenure, never
/// attestations. Nothing is stretched beyond the limit after the last round.
/// Survives: pauses and late replies (everything is dated by its sending).
class TenureValidity
{
public:
  TenureValidity(const OwnershipSettings& aSettings, EntryId aSelf);

  /// A tenure began; `aVoters` is what its record in the store says.
  void Begin(StoreLease aTenure, Voters aVoters);
  void End();

  /// A round of the store that began at `aStarted` succeeded.
  void Confirm(Instant aStarted);

  /// The record may now say `aVoters`: majorities of all that it may say are
  /// needed until SetVoters().
  void AddPossibleVoters(Voters aVoters);

  /// The record certainly says `aVoters` and no older write is under way.
  void SetVoters(Voters aVoters);

  /// Asks the voters when the store is late. `aRoster` gives the addresses.
  void Advance(const EntryRoster& aRoster,
               Instant aNow,
               OwnershipActions& aOut);

  void OnReply(const AttestReply& aReply);

  /// This entry itself promised the tenure: only the store can revive it.
  void OnOwnPromise() { mLapsed = true; }

  /// Notices a gap. True when the tenure holds no longer.
  bool CheckLapsed(Instant aNow);

  /// True while this entry may act under its tenure.
  bool Holds(Instant aNow) const;

  /// True while it holds by attestations only.
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
  /// Recent sendings by sequence, and the newest one that each voter attested.
  absl::flat_hash_map<std::uint64_t, Instant> mSent;
  absl::flat_hash_map<EntryId, Instant> mAttested;
};

} // namespace foxtailbarrow
