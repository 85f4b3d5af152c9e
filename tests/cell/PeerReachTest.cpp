#include <gtest/gtest.h>

#include "src/core/cell/PeerReach.h"

namespace foxtailbarrow::cell::test {

namespace {

const Endpoint kPeer{ "10.0.0.1", 7000 };
const Endpoint kOther{ "10.0.0.2", 7000 };
const Instant kNow{ std::chrono::seconds(100) };
const Instant kLater = kNow + PeerReach::kLeftOutFor;
const Instant kSoon = kNow + PeerReach::kUsualAnswer;
constexpr Duration kTick(1);

TEST(PeerReachTest, ASilentOneIsLeftOutForAWhile)
{
  PeerReach reach;
  EXPECT_TRUE(reach.MayAsk(kPeer, kNow));
  reach.NoteSilent(kPeer, kNow, kNow);
  EXPECT_FALSE(reach.MayAsk(kPeer, kNow));
  EXPECT_TRUE(reach.MayAsk(kOther, kNow));
}

TEST(PeerReachTest, OneRequestFindsOutWhetherItIsBack)
{
  PeerReach reach;
  reach.NoteSilent(kPeer, kNow, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
  reach.NoteAsked(kPeer, kLater);
  EXPECT_FALSE(reach.MayAsk(kPeer, kLater));
  reach.NoteAnswered(kPeer, kLater);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

/// Those that came in the second until the first time-out all waited for it.
TEST(PeerReachTest, OneThatIsLateIsNotAskedByMore)
{
  PeerReach reach;
  reach.NoteAsked(kPeer, kNow);
  reach.NoteAsked(kPeer, kNow + kTick);
  EXPECT_TRUE(reach.MayAsk(kPeer, kSoon));
  EXPECT_FALSE(reach.MayAsk(kPeer, kSoon + kTick));
  reach.NoteAnswered(kPeer, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kSoon + kTick));
  reach.NoteAnswered(kPeer, kNow + kTick);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

TEST(PeerReachTest, OneThatRefusesAtOnceIsAskedAgain)
{
  PeerReach reach;
  reach.NoteAsked(kPeer, kNow);
  reach.NoteRefused(kPeer, kNow);
  EXPECT_TRUE(reach.MayAsk(kPeer, kLater));
}

} // namespace

} // namespace foxtailbarrow::cell::test
