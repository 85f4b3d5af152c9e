#pragma once

#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// Answers this entry's attestation and promise requests as a voter on tenures.
///
/// Attests a tenure unless it knows that the tenure has ended.
/// Guarantees that it never attests a tenure that it promised not to attest, or
/// that was missing from its last roster. After a restart it attests the
/// tenures that are live in the store; while the store is unreachable, it first
/// attests nothing until any promise that the restart may have lost has taken
/// effect.
/// Persists no state.
class TenureVoter
{
public:
  TenureVoter(const OwnershipSettings& aSettings,
              EntryId aSelf,
              Instant aStarted);

  /// Applies the roster of a successful round.
  void OnRound(const EntryRoster& aRoster);

  AttestReply OnAttest(const AttestRequest& aRequest, Instant aNow) const;
  PromiseReply OnPromise(const PromiseRequest& aRequest);

  bool Promised(StoreLease aTenure) const;

private:
  bool Attests(StoreLease aTenure, Instant aNow) const;

  OwnershipSettings mSettings;
  EntryId mSelf;
  Instant mStarted;
  bool mHasRoster = false;
  absl::flat_hash_set<StoreLease> mLive;
  absl::flat_hash_set<StoreLease> mPromised;
};

} // namespace foxtailbarrow
