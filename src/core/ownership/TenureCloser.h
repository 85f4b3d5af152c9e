#pragma once

#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/EntryRoster.h"
#include "src/core/ownership/OwnershipEvents.h"
#include "src/core/ownership/OwnershipSettings.h"

namespace foxtailbarrow {

/// Finds out when no task lease of an ended tenure can be left.
///
/// Input: tenures that the store shows ended; their records read after that;
/// promises of voters. Output: Closed().
/// A tenure closes: at once when its record is gone (another entry closed it);
/// a wait after a majority of its voters promised within one window; a wait
/// after its own holder's word, which is this process itself or the process
/// that started after it under the same id; else after the hold.
/// Survives: loss of voters (the hold), voters that restart between promise and
/// majority (the window), lost and late replies (dated by sending).
class TenureCloser
{
public:
  TenureCloser(const OwnershipSettings& aSettings, EntryId aSelf);

  /// The store showed `aTenure` ended before `aNow`. Idempotent.
  void OnTenureEnded(StoreLease aTenure, Instant aNow);

  /// This process held `aTenure` and ceased to act under it before `aNow`.
  void OnOwnTenureEnded(StoreLease aTenure, Instant aNow);

  /// Record of an open tenure, read after it had ended.
  void OnRecord(StoreLease aTenure, const TenureRecord& aRecord, Instant aNow);

  /// The store has no record of this open tenure any more.
  void OnRecordDeleted(StoreLease aTenure);

  void Advance(const EntryRoster& aRoster,
               Instant aNow,
               OwnershipActions& aOut);
  void OnReply(const PromiseReply& aReply, Instant aNow);

  /// True when no lease of the tenure is left. Tenures never opened are not.
  bool Closed(StoreLease aTenure, Instant aNow) const;

  /// OnTenureEnded tenures whose records were not read yet.
  std::vector<StoreLease> WithoutRecords() const;

  /// Closed tenures whose records are to be deleted.
  std::vector<StoreLease> Deletable(Instant aNow) const;
  void OnDeleted(std::span<const StoreLease> aTenures);

  std::size_t OpenCount() const { return mOpen.size(); }

private:
  struct Ended
  {
    Instant mTimeoutAt{};
    std::optional<Voters> mVoters;
    std::optional<Instant> mClosesAt;
    absl::flat_hash_map<EntryId, Instant> mPromised; ///< By sending.
  };

  void ScheduleClose(Ended& aOpen, Instant aNow) const;
  std::vector<StoreLease> AwaitingPromises() const;
  Voters VotersOf(std::span<const StoreLease> aTenures) const;
  bool HasMajority(const Ended& aEnded, Instant aNow) const;

  OwnershipSettings mSettings;
  EntryId mSelf;
  absl::flat_hash_map<StoreLease, Ended> mOpen;
  absl::flat_hash_set<StoreLease> mDeleted;
  std::uint64_t mSequence = 0;
  Instant mLastSent{};
  absl::flat_hash_map<std::uint64_t, Instant> mSent;
};

} // namespace foxtailbarrow
