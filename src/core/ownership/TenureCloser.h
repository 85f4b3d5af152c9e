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

/// Determines when every task lease of an ended tenure has expired.
///
/// Input: tenures that ended according to the store, their records as read
/// afterwards, and promises of voters. Output: Closed().
/// A tenure closes
/// - at once when its record is deleted, because another entry closed it;
/// - OwnershipSettings::TenureWait() after a majority of its voters promised
///   within one window, or after its holder confirmed the end (the holder is
///   this process or its predecessor under the same id);
/// - otherwise after `mTenureTimeout`.
/// The timeout covers the loss of voters, the window covers voters that restart
/// between promise and majority. Replies are timestamped by the sending of
/// their request, so lost and late replies are safe.
class TenureCloser
{
public:
  TenureCloser(const OwnershipSettings& aSettings, EntryId aSelf);

  /// `aTenure` ended before `aNow` according to the store. Idempotent.
  void OnTenureEnded(StoreLease aTenure, Instant aNow);

  /// This process held `aTenure` and stopped acting under it before `aNow`.
  void OnOwnTenureEnded(StoreLease aTenure, Instant aNow);

  /// Record of an ended tenure, read after its end.
  void OnRecord(StoreLease aTenure, const TenureRecord& aRecord, Instant aNow);

  /// The store no longer has a record of this ended tenure.
  void OnRecordDeleted(StoreLease aTenure);

  void Advance(const EntryRoster& aRoster,
               Instant aNow,
               OwnershipActions& aOut);
  void OnReply(const PromiseReply& aReply, Instant aNow);

  /// True when every task lease of the tenure has expired. False for a tenure
  /// that was never reported as ended.
  bool Closed(StoreLease aTenure, Instant aNow) const;

  /// Ended tenures whose records have not been read yet.
  std::vector<StoreLease> WithoutRecords() const;

  /// Closed tenures whose records can be deleted.
  std::vector<StoreLease> Deletable(Instant aNow) const;
  void OnDeleted(std::span<const StoreLease> aTenures);

  std::size_t OpenCount() const { return mOpen.size(); }

private:
  struct Ended
  {
    Instant mTimeoutAt{};
    std::optional<Voters> mVoters;
    std::optional<Instant> mClosesAt;
    absl::flat_hash_map<EntryId, Instant> mPromised; ///< When requested.
  };

  void ScheduleClose(Ended& aEnded, Instant aNow) const;
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
