#pragma once

#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// An entry's part as a voter on the tenures of others.
///
/// Decides: whether to attest that it knows of nobody who ended a tenure.
/// Promise: after it promised a tenure, or saw the store without it, it never
/// attests it. After a restart it attests what it has seen live in the store
/// since; without the store it first stays silent for so long that whatever
/// promise it may have forgotten has taken effect.
/// Keeps nothing beyond its process.
class TenureVoter
{
public:
  TenureVoter(const OwnershipSettings& aSettings,
              EntryId aSelf,
              Instant aStarted);

  /// Takes the roster of a successful round.
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
