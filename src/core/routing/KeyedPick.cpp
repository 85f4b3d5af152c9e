#include "src/core/routing/KeyedPick.h"

#include "src/core/routing/StableHash.h"

namespace foxtailbarrow {

namespace {

std::uint64_t HashOf(const PickRequest& aRequest)
{
  return MixBits(StableHash(aRequest.mCustomer.Value()) ^
                 MixBits(StableHash(aRequest.mIdempotencyKey)));
}

} // namespace

bool KeyedPick::Member::IsBefore(const Member& aOther) const
{
  return mScore > aOther.mScore ||
         (mScore == aOther.mScore && mIndex < aOther.mIndex);
}

KeyedChoice KeyedPick::Pick(const PickContext& aContext) const
{
  const PickRequest& request = aContext.mRequest;
  const std::uint64_t key = HashOf(request);
  const Instant windowStart = aContext.mNow - mSettings.mWindow;
  KeyedChoice choice;
  // Since then the candidate, or an agent after it, could have taken the key.
  Instant takeableSince = Instant::max();
  std::optional<Member> member;
  while (takeableSince > windowStart) {
    member = Next(aContext, key, member);
    if (!member.has_value()) {
      break;
    }
    const RoutableAgent& agent = *member->mAgent;
    const bool isServing = member->mState == MemberState::Serving;
    const bool isNew =
      isServing && agent.mKnownSince > aContext.mNow - mSettings.mJoinDelay;
    const bool joinedLater =
      choice.mCandidate && agent.mKnownSince >= takeableSince;
    if (joinedLater || (isNew && !request.mKeyRevoked)) {
      continue;
    }
    if (isNew || member->mState == MemberState::Lost) {
      return { {}, {}, true };
    }
    if (!choice.mCandidate && isServing) {
      choice.mCandidate = mCheck.Examine(aContext, agent);
    }
    if (choice.mCandidate.mAgent != &agent) {
      choice.mRevokeFirst.push_back({ &agent, bool(choice.mCandidate) });
    }
    if (choice.mCandidate && isServing) {
      takeableSince = agent.mKnownSince;
    }
    const std::size_t maxTargets =
      choice.mCandidate
        ? mSettings.mMaxRevokesBefore + mSettings.mMaxRevokesAfter
        : mSettings.mMaxRevokesBefore;
    if (choice.mRevokeFirst.size() > maxTargets) {
      return {};
    }
  }
  return choice;
}

std::optional<KeyedPick::Member> KeyedPick::Next(
  const PickContext& aContext,
  std::uint64_t aKey,
  const std::optional<Member>& aLast) const
{
  const ServiceTable& service = aContext.mService;
  Member best;
  std::size_t index = 0;
  const auto consider =
    [&](std::uint64_t aHash, const auto& aAgent, MemberState aState) {
      const Member next{ MixBits(aHash ^ aKey), index++, &*aAgent, aState };
      if ((best.mAgent == nullptr || next.IsBefore(best)) &&
          (!aLast.has_value() || aLast->IsBefore(next))) {
        best = next;
      }
    };
  for (std::size_t i = 0; i < service.mServing.size(); ++i) {
    consider(
      service.mServingHashes[i], service.mServing[i], MemberState::Serving);
  }
  const MemberState suspect =
    service.mServing.empty() ? MemberState::Serving : MemberState::Reachable;
  for (const RoutableAgentPointer& agent : service.mSuspect) {
    consider(agent->mHash, agent, suspect);
  }
  for (const FormerAgent& former : service.mFormer) {
    consider(former.mAgent->mHash,
             former.mAgent,
             former.mReachable ? MemberState::Reachable : MemberState::Lost);
  }
  return best.mAgent == nullptr ? std::nullopt : std::optional(best);
}

} // namespace foxtailbarrow
