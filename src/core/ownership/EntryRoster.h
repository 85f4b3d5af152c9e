#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "src/core/ownership/Records.h"

namespace foxtailbarrow {

/// An entry of the roster, with the mod revision of its record.
struct LiveEntry
{
  EntryRecord mRecord;
  Revision mModRevision = 0;
};

/// The entries now live, as the store listed them after it renewed this
/// entry's lease.
///
/// Decides: whether this entry still counts as live (Confirmed()), and whether
/// what it claims by its rank counts yet (Joined()).
/// Input: successful rounds, dated by their start on this process's clock.
/// Promise: while Confirmed() is true, the store has not let this entry's
/// lease lapse, so no other entry has seen a roster without it.
/// Survives: lost and late replies (a round is dated by its start) and pauses
/// (time passes on).
class EntryRoster
{
public:
  EntryRoster(EntryId aSelf, Duration aValidity, Duration aJoinWait);

  /// Takes the listing of a round that began at `aStarted`, renewed the lease
  /// and then listed `aLive`.
  void Confirm(Instant aStarted, std::vector<LiveEntry> aLive);

  /// Forgets this entry's membership (its lease is gone); the list stays for
  /// routing.
  void Leave();

  /// True less than the validity after the start of the last good round.
  bool Confirmed(Instant aNow) const;

  /// True when confirmed, and a member for so long that every other confirmed
  /// entry has seen it. Before, rights by rank must not be used.
  bool Joined(Instant aNow) const;

  /// When the last good round began; nullopt when there is none.
  std::optional<Instant> LastConfirmedRound() const { return mStarted; }

  /// Place of this entry in the order of ids, from 0; nullopt when not listed.
  std::optional<std::size_t> Rank() const;

  std::size_t LiveCount() const { return mLive.size(); }

  /// Sorted by id.
  std::span<const LiveEntry> Live() const { return mLive; }

  /// nullptr when not live. Valid until the next Confirm().
  const LiveEntry* Find(const EntryId& aEntry) const;

  /// Where the voter listens now, as far as known.
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
