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

TEST(PeerAvailabilityTest, ASilentOneIsLeftOutForAWhile)
{
  PeerAvailability reach;
  EXPECT_TRUE(reach.MayAsk(kPeer, kNow));
  reach.OnSilent(kPeer, kNow, kNow);
  EXPECT_FALSE(reach.MayAsk(kPeer, kNow));
  EXPECT_TRUE(reach.MayAsk(kOther, kNow));
}

TEST(PeerAvailabilityTest, OneRequestFindsOutWhetherItIsBack)
{
  PeerAvailability reach;
  reach.OnSilent(kPeer, kNow, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
  reach.OnAsked(kPeer, kLater);
  EXPECT_FALSE(reach.MayAsk(kPeer, kLater));
  reach.OnAnswered(kPeer, kLater);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

/// Those that came in the second until the first time-out all waited for it.
TEST(PeerAvailabilityTest, OneThatIsLateIsNotAskedByMore)
{
  PeerAvailability reach;
  reach.OnAsked(kPeer, kNow);
  reach.OnAsked(kPeer, kNow + kTick);
  EXPECT_TRUE(reach.MayAsk(kPeer, kSoon));
  EXPECT_FALSE(reach.MayAsk(kPeer, kSoon + kTick));
  reach.OnAnswered(kPeer, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kSoon + kTick));
  reach.OnAnswered(kPeer, kNow + kTick);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

TEST(PeerAvailabilityTest, OneThatRefusesAtOnceIsAskedAgain)
{
  PeerAvailability reach;
  reach.OnAsked(kPeer, kNow);
  reach.OnRefused(kPeer, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

} // namespace

} // namespace foxtailbarrow::cell::test
