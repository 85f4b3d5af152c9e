#include <gtest/gtest.h>

#include "src/core/cell/PeerAvailability.h"

namespace foxtailbarrow::cell::test {

namespace {

const Endpoint kPeer{ "10.0.0.1", 7000 };
const Endpoint kOther{ "10.0.0.2", 7000 };
const Instant kNow{ std::chrono::seconds(100) };
const Instant kLater = kNow + PeerAvailability::kSkippedFor;
const Instant kSoon = kNow + PeerAvailability::kUsualAnswerTime;
constexpr Duration kTick(1);

TEST(PeerAvailabilityTest, ASilentPeerIsSkippedForAWhile)
{
  PeerAvailability peers;
  EXPECT_TRUE(peers.MayAsk(kPeer, kNow));
  peers.OnSilent(kPeer, kNow, kNow);
  EXPECT_FALSE(peers.MayAsk(kPeer, kNow));
  EXPECT_TRUE(peers.MayAsk(kOther, kNow));
}

TEST(PeerAvailabilityTest, OneRequestProbesASilentPeer)
{
  PeerAvailability peers;
  peers.OnSilent(kPeer, kNow, kNow);
  EXPECT_TRUE(peers.MayAsk(kPeer, kLater));
  peers.OnAsked(kPeer, kLater);
  EXPECT_FALSE(peers.MayAsk(kPeer, kLater));
  peers.OnAnswered(kPeer, kLater);
  EXPECT_TRUE(peers.MayAsk(kPeer, kLater));
}

/// Otherwise all requests that arrive before the first timeout wait for the
/// same peer.
TEST(PeerAvailabilityTest, ALatePeerIsNotAskedByMoreRequests)
{
  PeerAvailability peers;
  peers.OnAsked(kPeer, kNow);
  peers.OnAsked(kPeer, kNow + kTick);
  EXPECT_TRUE(peers.MayAsk(kPeer, kSoon));
  EXPECT_FALSE(peers.MayAsk(kPeer, kSoon + kTick));
  peers.OnAnswered(kPeer, kNow);
  EXPECT_TRUE(peers.MayAsk(kPeer, kSoon + kTick));
  peers.OnAnswered(kPeer, kNow + kTick);
  EXPECT_TRUE(peers.MayAsk(kPeer, kLater));
}

TEST(PeerAvailabilityTest, APeerThatRefusesAtOnceIsAskedAgain)
{
  PeerAvailability peers;
  peers.OnAsked(kPeer, kNow);
  peers.OnRefused(kPeer, kNow);
  EXPECT_TRUE(peers.MayAsk(kPeer, kLater));
}

} // namespace

} // namespace foxtailbarrow::cell::test
