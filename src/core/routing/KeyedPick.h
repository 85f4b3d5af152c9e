#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/routing/CandidateCheck.h"
#include "src/core/routing/KeyedSettings.h"
#include "src/core/routing/PickContext.h"

namespace foxtailbarrow {

/// An agent that must promise first; see RevokeTarget.
struct KeyedRevokeTarget
{
  const RoutableAgent* mAgent = nullptr;
  bool mMustBeFirstPromise = false;
};

/// Where a keyed request may run.
struct KeyedChoice
{
  Candidate mCandidate; ///< Empty: none can take it now.
  std::vector<KeyedRevokeTarget> mRevokeFirst;
  bool mKeyHolderLost = false;
};

/// Decides which agent gets a request that has an idempotency key and is not
/// idempotent, such that the caller's own second attempt, at whichever entry,
/// meets the agent that knows the first.
///
/// Every agent has a score for the key (rendezvous hash); by falling score they
/// form the key's order, which is the same at every entry. Rule: a key may run
/// on an agent only when every agent before it in the order, and every other
/// that was in its place within the window, has promised never to run it
/// (`agent.revoke` answered NotRun). An agent that is gone cannot promise: its
/// keys are refused until the window is over.
///
/// The entry keeps no state for it; agents keep the keys, bounded. The cost of
/// a choice is a pass over the service's scores.
///
/// A newcomer takes keys only once every entry knows it, since an entry that
/// does not cannot ask it. A second attempt that meets a promise goes on in the
/// order to the agent that the first went to; where that may be a newcomer, or
/// an agent past one that passed the key on, it is refused instead.
///
/// Survives: agents that start, drain, restart or die, and entries whose tables
/// differ by less than half the join delay. Does not survive: an agent that one
/// entry reaches and another has not heard for longer than the time until Gone
/// plus the window; an entry, or a service, that starts within the window of a
/// change.
class KeyedPick
{
public:
  explicit KeyedPick(KeyedSettings aSettings = {},
                     CandidateCheck aCheck = CandidateCheck())
    : mSettings(aSettings)
    , mCheck(aCheck)
  {
  }

  KeyedChoice Pick(const PickContext& aContext) const;

  /// As CandidateCheck::Claim().
  bool Claim(const Candidate& aCandidate, Instant aNow) const
  {
    return mCheck.Claim(aCandidate, aNow);
  }

private:
  enum class MemberState : std::uint8_t
  {
    Serving,
    Reachable, ///< Suspect or draining: can be asked, gets nothing new.
    Lost,
  };

  struct Member
  {
    std::uint64_t mScore = 0;
    std::size_t mIndex = 0; ///< Orders equal scores.
    const RoutableAgent* mAgent = nullptr;
    MemberState mState = MemberState::Serving;

    bool IsBefore(const Member& aOther) const;
  };

  std::optional<Member> Next(const PickContext& aContext,
                             std::uint64_t aKey,
                             const std::optional<Member>& aLast) const;

  KeyedSettings mSettings;
  CandidateCheck mCheck;
};

} // namespace foxtailbarrow
