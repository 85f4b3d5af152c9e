#pragma once

#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"
#include "src/core/ownership/StoreSession.h"
#include "src/core/ownership/TenureCloser.h"
#include "src/core/ownership/TenureValidity.h"

namespace foxtailbarrow {

/// Maintains tenure records in the store: updates the voters of this entry's
/// tenure to the roster, reads the records of ended tenures, deletes those of
/// closed ones, and searches for ended tenures that no shard refers to.
///
/// One call is in flight at a time. After a lost reply, while the recorded
/// voters are uncertain, a majority of every possible voter list is required.
class TenureMaintenance
{
public:
  /// All references must outlive this.
  TenureMaintenance(const OwnershipSettings& aSettings,
                    const StoreSession& aSession,
                    TenureValidity& aTenureValidity,
                    TenureCloser& aCloser,
                    CallIdGenerator& aCallIds);

  void OnRegistered(Instant aNow);
  void OnRound(Instant aNow);
  void Advance(Instant aNow, OwnershipActions& aOut);

  /// Ignores replies to calls of other components.
  void OnReply(const StoreReply& aReply, Instant aNow);

private:
  struct ReadingEnded
  {
    std::vector<StoreLease> mTenures; ///< Ended before the call was sent.
  };
  struct ReadingOwn
  {
    StoreLease mTenure = 0;
  };
  struct WritingVoters
  {
    StoreLease mTenure = 0;
    Voters mVoters;
  };
  struct Deleting
  {
    std::vector<StoreLease> mTenures;
  };
  using Work = std::variant<ReadingEnded, ReadingOwn, WritingVoters, Deleting>;

  void SendCall(Work aWork, StoreCommand aCall, OwnershipActions& aOut);
  bool StartReadingEnded(Instant aNow, OwnershipActions& aOut);
  bool StartVoterUpdate(Instant aNow, OwnershipActions& aOut);
  bool StartDelete(Instant aNow, OwnershipActions& aOut);
  void Sweep(const absl::flat_hash_map<StoreLease, TenureRecord>& aRecords,
             Instant aNow);
  bool IsLive(StoreLease aTenure) const;

  void OnDone(const ReadingEnded& aWork,
              const StoreResult& aResult,
              Instant aNow);
  void OnDone(const ReadingOwn& aWork,
              const StoreResult& aResult,
              Instant aNow);
  void OnDone(const WritingVoters& aWork,
              const StoreResult& aResult,
              Instant aNow);
  void OnDone(const Deleting& aWork, const StoreResult& aResult, Instant aNow);

  OwnershipSettings mSettings;
  const StoreSession& mSession;
  TenureValidity& mTenureValidity;
  TenureCloser& mCloser;
  CallIdGenerator& mCallIds;
  std::optional<Work> mWork;
  CallId mCall = 0;
  Instant mNextRead{};
  Instant mNextSweep{};
  Voters mVoters; ///< As recorded in the store if mRevision is known.
  std::optional<Revision> mRevision;
  Voters mLastRoster;
  Instant mRosterSince{};
  absl::flat_hash_set<StoreLease> mSuspects; ///< Not live in the last sweep.
};

} // namespace foxtailbarrow
