#pragma once

#include <optional>
#include <vector>

#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// Keeps this entry registered in the store and its roster fresh.
///
/// Decides: when to take a new tenure, when to renew, whether the tenure has
/// ended. One call is under way at a time.
/// Promise: a tenure is registered at most once; one that ended never returns.
/// Survives: lost replies of the registration (read back and judged by the
/// tenure's number, which is unique), outages, a lapsed lease, a second process
/// under the same id (the older one gives way).
class StoreSession
{
public:
  enum class Change : std::uint8_t
  {
    None,
    Registered, ///< A tenure began; not confirmed by a round yet.
    Confirmed,  ///< A round succeeded.
    Ended,      ///< The store ended the tenure.
    Superseded, ///< A later process has this id.
  };

  /// @param aSelf record to register; its tenure is filled in here.
  StoreSession(const OwnershipSettings& aSettings,
               EntryRecord aSelf,
               CallIdGenerator& aCallIds);

  /// Starts the next round when it is due.
  void Advance(Instant aNow, OwnershipActions& aOut);

  /// Ignores replies to calls of others.
  Change OnReply(const StoreReply& aReply,
                 Instant aNow,
                 OwnershipActions& aOut);

  /// Ends the tenure on this side, for example on leaving.
  void Stop();

  const EntryRoster& Roster() const { return mRoster; }
  std::optional<StoreLease> Tenure() const { return mTenure; }
  const EntryRecord& Self() const { return mSelf; }

  /// Mod revision of this entry's record; the condition of all its writes.
  Revision RecordRevision() const { return mRecordRevision; }

  /// Voters written with the tenure at its registration.
  const Voters& FirstVoters() const { return mVoters; }

private:
  enum class Step : std::uint8_t
  {
    Idle,
    Granting,
    ListingFirst,
    Registering,
    ReadingBack,
    Renewing,
    Listing,
  };

  void SendCall(Step aStep, StoreCommand aCall, OwnershipActions& aOut);
  void StartRound(Instant aNow, OwnershipActions& aOut);
  void Register(const StoreListing& aListing, OwnershipActions& aOut);
  Change OnRegistered(Revision aRevision, Instant aNow, OwnershipActions& aOut);
  Change OnReadBack(const StoreListing& aListing,
                    Instant aNow,
                    OwnershipActions& aOut);
  Change OnListed(const StoreListing& aListing);
  Change OnListing(const StoreListing& aListing,
                   Instant aNow,
                   OwnershipActions& aOut);
  Change OnCommit(const StoreTransactionResult& aResult,
                  Instant aNow,
                  OwnershipActions& aOut);
  Change OnFailure(OwnershipActions& aOut);
  Change End();

  OwnershipSettings mSettings;
  EntryRecord mSelf;
  CallIdGenerator& mCallIds;
  EntryRoster mRoster;
  Step mStep = Step::Idle;
  CallId mCall = 0;
  bool mStopped = false;
  Instant mRoundStarted{};
  Instant mNextRound{};
  std::optional<StoreLease> mTenure;
  Revision mRecordRevision = 0;
  Voters mVoters;
};

} // namespace foxtailbarrow
