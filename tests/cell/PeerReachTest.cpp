#include <gtest/gtest.h>

#include "src/core/cell/PeerReach.h"

namespace foxtailbarrow::cell::test {

namespace {

const Endpoint kPeer{ "10.0.0.1", 7000 };
const Endpoint kOther{ "10.0.0.2", 7000 };
const Instant kNow{ std::chrono::seconds(100) };
const Instant kLater = kNow + PeerReach::kLeftOutFor;

TEST(PeerReachTest, ASilentOneIsLeftOutForAWhile)
{
  PeerReach reach;
  EXPECT_TRUE(reach.MayAsk(kPeer, kNow));
  EXPECT_TRUE(reach.MayAsk(kPeer, kNow)); // One that answers, by any number.
  reach.NoteSilent(kPeer, kNow);
  EXPECT_FALSE(reach.MayAsk(kPeer, kNow));
  EXPECT_TRUE(reach.MayAsk(kOther, kNow));
}

TEST(PeerReachTest, OneRequestFindsOutWhetherItIsBack)
{
  PeerReach reach;
  reach.NoteSilent(kPeer, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
  EXPECT_FALSE(reach.MayAsk(kPeer, kLater));
  reach.NoteAnswer(kPeer);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

} // namespace

} // namespace foxtailbarrow::cell::test
