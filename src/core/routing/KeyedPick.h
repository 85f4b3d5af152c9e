#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/routing/CandidateCheck.h"
#include "src/core/routing/KeyedSettings.h"
#include "src/core/routing/PickContext.h"

namespace foxtailbarrow {

/// An agent that must promise not to run the key; see RevokeTarget.
struct KeyedRevokeTarget
{
  const RoutableAgent* mAgent = nullptr;
  bool mMustBeFirstPromise = false;
};

/// Where a keyed request can run.
struct KeyedChoice
{
  Candidate mCandidate; ///< Empty: none can take it now.
  std::vector<KeyedRevokeTarget> mRevokeFirst;
  bool mKeyHolderLost = false;
};

/// Picks the agent for a request that has an idempotency key and is not
/// idempotent, such that the caller's retry, at any entry, reaches the agent
/// that knows the first attempt.
///
/// Every agent has a score for the key (rendezvous hashing). Sorted by falling
/// score, the agents form the key's order, which is the same at every entry.
/// Rule: a key may run on an agent only when every agent before it in the
/// order, and every other one that was in its place within the window, has
/// promised never to run it (`agent.revoke` answered NotRun). A lost agent
/// cannot promise: its keys are refused until the window is over.
///
/// The entry keeps no state for this; agents keep a bounded number of keys. A
/// pick costs a pass over the service's scores.
///
/// A new agent takes keys only once every entry knows it, since an entry that
/// does not know it cannot ask it. A retry that is refused because of a promise
/// continues in the order to the agent that got the first attempt. Where that
/// may be a new agent, or an agent after one that revoked the key earlier, it
/// is refused instead.
///
/// Tolerates agents that start, drain, restart or crash, and entries whose
/// tables differ by less than half the join delay. Does not tolerate an agent
/// that one entry reaches and from which another has received nothing for
/// longer than the time until Gone plus the window, nor an entry or a service
/// that starts within the window of a change.
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
    Reachable, ///< Suspect or draining: can be asked, takes no new keys.
    Lost,
  };

  struct Member
  {
    std::uint64_t mScore = 0;
    std::size_t mIndex = 0; ///< Tie-breaker for equal scores.
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
