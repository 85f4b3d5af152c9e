#include "src/core/cell/PeerReach.h"

namespace foxtailbarrow::cell {

bool PeerReach::MayAsk(const Endpoint& aPeer, Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  const bool waits =
    !peer.mAsked.empty() && aNow - *peer.mAsked.begin() > kUsualAnswer;
  if (waits || aNow < peer.mLeftOutUntil) {
    return false;
  }
  if (peer.mSilent) {
    peer.mLeftOutUntil = aNow + kLeftOutFor;
  }
  return true;
}

void PeerReach::NoteAsked(const Endpoint& aPeer, Instant aNow)
{
  mPeers[aPeer].mAsked.insert(aNow);
}

void PeerReach::Settle(Peer& aPeer, Instant aAskedAt)
{
  if (const auto asked = aPeer.mAsked.find(aAskedAt);
      asked != aPeer.mAsked.end()) {
    aPeer.mAsked.erase(asked);
  }
}

void PeerReach::NoteAnswered(const Endpoint& aPeer, Instant aAskedAt)
{
  Peer& peer = mPeers[aPeer];
  Settle(peer, aAskedAt);
  peer.mSilent = false;
  peer.mLeftOutUntil = {};
}

void PeerReach::NoteSilent(const Endpoint& aPeer,
                           Instant aAskedAt,
                           Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  Settle(peer, aAskedAt);
  peer.mSilent = true;
  peer.mLeftOutUntil = aNow + kLeftOutFor;
}

void PeerReach::NoteRefused(const Endpoint& aPeer, Instant aAskedAt)
{
  Settle(mPeers[aPeer], aAskedAt);
}

} // namespace foxtailbarrow::cell
