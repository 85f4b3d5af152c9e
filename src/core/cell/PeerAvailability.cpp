#include "src/core/cell/PeerAvailability.h"

namespace foxtailbarrow::cell {

bool PeerAvailability::MayAsk(const Endpoint& aPeer, Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  const bool waits =
    !peer.mAsked.empty() && aNow - *peer.mAsked.begin() > kUsualAnswerTime;
  if (waits || aNow < peer.mSkippedUntil) {
    return false;
  }
  if (peer.mSilent) {
    peer.mSkippedUntil = aNow + kSkippedFor;
  }
  return true;
}

void PeerAvailability::OnAsked(const Endpoint& aPeer, Instant aNow)
{
  mPeers[aPeer].mAsked.insert(aNow);
}

void PeerAvailability::Settle(Peer& aPeer, Instant aAskedAt)
{
  if (const auto asked = aPeer.mAsked.find(aAskedAt);
      asked != aPeer.mAsked.end()) {
    aPeer.mAsked.erase(asked);
  }
}

void PeerAvailability::OnAnswered(const Endpoint& aPeer, Instant aAskedAt)
{
  Peer& peer = mPeers[aPeer];
  Settle(peer, aAskedAt);
  peer.mSilent = false;
  peer.mSkippedUntil = {};
}

void PeerAvailability::OnSilent(const Endpoint& aPeer,
                                Instant aAskedAt,
                                Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  Settle(peer, aAskedAt);
  peer.mSilent = true;
  peer.mSkippedUntil = aNow + kSkippedFor;
}

void PeerAvailability::OnRefused(const Endpoint& aPeer, Instant aAskedAt)
{
  Settle(mPeers[aPeer], aAskedAt);
}

} // namespace foxtailbarrow::cell
