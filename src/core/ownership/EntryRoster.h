#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/ownership/Records.h"

namespace foxtailbarrow {

/// A live entry and the mod revision of its store record.
struct LiveEntry
{
  EntryRecord mRecord;
  Revision mModRevision = 0;
};

/// The live entries, as the store listed them after renewing this entry's
/// lease.
///
/// Decides whether this entry still counts as live (Confirmed()) and whether
/// it may use rights derived from its rank (Joined()). A round is timestamped
/// by its start on this process's clock, so lost or late replies and pauses
/// can only shorten its validity.
/// Guarantees that while Confirmed() is true, the store has not expired this
/// entry's lease, so no other entry has read a roster without it.
class EntryRoster
{
public:
  EntryRoster(EntryId aSelf, Duration aValidity, Duration aJoinWait);

  /// Applies a round that began at `aStarted`, renewed the lease and then
  /// listed `aLive`.
  void Confirm(Instant aStarted, std::vector<LiveEntry> aLive);

  /// Ends this entry's membership when its lease has ended. The list stays for
  /// routing.
  void Leave();

  /// True for less than the validity after the last successful round started.
  bool Confirmed(Instant aNow) const;

  /// True when confirmed and a member for long enough that every other
  /// confirmed entry lists it. Until then, rights derived from the rank must
  /// not be used.
  bool Joined(Instant aNow) const;

  /// Start of the last successful round; nullopt when there is none.
  std::optional<Instant> LastConfirmedRound() const { return mStarted; }

  /// Zero-based position of this entry in the order of ids; nullopt when not
  /// listed.
  std::optional<std::size_t> Rank() const;

  std::size_t LiveCount() const { return mLive.size(); }

  /// Sorted by id.
  std::span<const LiveEntry> Live() const { return mLive; }

  /// nullptr when not live. Valid until the next Confirm().
  const LiveEntry* Find(const EntryId& aEntry) const;

  /// The voter's current endpoint, or the recorded one when it is not live.
  Endpoint AddressOf(const Voter& aVoter) const;

  /// The live entries as voters.
  Voters AsVoters() const;

  const EntryId& Self() const { return mSelf; }

private:
  EntryId mSelf;
  Duration mValidity;
  Duration mJoinWait;
  std::optional<Instant> mStarted;
  std::optional<Instant> mMemberSince;
  std::vector<LiveEntry> mLive;
};

} // namespace foxtailbarrow
