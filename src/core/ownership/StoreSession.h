#pragma once

#include <optional>
#include <vector>

#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// Keeps this entry registered in the store and its roster up to date.
///
/// Decides when to start a new tenure, when to renew it, and whether it has
/// ended. One call is in flight at a time.
/// Guarantees that a tenure is registered at most once and that an ended tenure
/// is never resumed.
/// After a lost reply to a registration, the record is read back and compared
/// by the tenure's unique number. Tolerates outages, an expired lease, and a
/// second process under the same id, to which the older process yields.
class StoreSession
{
public:
  enum class Change : std::uint8_t
  {
    None,
    Registered, ///< A tenure began; no round has confirmed it yet.
    Confirmed,  ///< A round succeeded.
    Ended,      ///< The store ended the tenure.
    Superseded, ///< A later process registered under this id.
  };

  /// @param aSelf record to register; the session fills in its tenure.
  StoreSession(const OwnershipSettings& aSettings,
               EntryRecord aSelf,
               CallIdGenerator& aCallIds);

  /// Starts the next round when it is due.
  void Advance(Instant aNow, OwnershipActions& aOut);

  /// Ignores replies to calls of other components.
  Change OnReply(const StoreReply& aReply,
                 Instant aNow,
                 OwnershipActions& aOut);

  /// Ends the tenure locally and starts no further round.
  void Stop();

  const EntryRoster& Roster() const { return mRoster; }
  std::optional<StoreLease> Tenure() const { return mTenure; }
  const EntryRecord& Self() const { return mSelf; }

  /// Mod revision of this entry's record; writes of the entry compare it.
  Revision RecordRevision() const { return mRecordRevision; }

  /// Voters that were written when the tenure was registered.
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
