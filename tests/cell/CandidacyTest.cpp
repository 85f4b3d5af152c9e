#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/core/cell/Candidacy.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;

struct CandidacyCase
{
  const char* mName;
  double mProcessorShare;
  Duration mVacant; ///< Since the cell was first seen without an owner.
  bool mMayTake;
};

class CandidacyTest : public testing::TestWithParam<CandidacyCase>
{};

TEST_P(CandidacyTest, WeakSchedulersWait)
{
  const Instant start{ std::chrono::seconds(10) };
  Candidacy candidacy(GetParam().mProcessorShare);
  candidacy.MayTake(start);
  EXPECT_EQ(candidacy.MayTake(start + GetParam().mVacant), GetParam().mMayTake);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CandidacyTest,
  testing::Values(
    CandidacyCase{ "StrongAtOnce", 0.25, milliseconds(0), true },
    CandidacyCase{ "WeakAtOnce", 0.12, milliseconds(0), false },
    CandidacyCase{ "WeakSoon", 0.12, milliseconds(499), false },
    CandidacyCase{ "WeakAfterTheDelay", 0.12, milliseconds(500), true }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// All schedulers that saw the owner's key go took part in the election at the
/// same moment: two writes each, more than the store accepts in a second at the
/// target size.
class CandidateCountTest : public testing::TestWithParam<int>
{};

TEST_P(CandidateCountTest, FewActBeforeTheySeeTheNewOwner)
{
  constexpr int kElections = 300;
  constexpr double kMostAttempts = 6.0;
  /// Three calls of 4 ms, and the way of the watch's answer.
  constexpr Duration kTakes = milliseconds(16);
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> any;
  int attempts = 0;
  for (int election = 0; election < kElections; ++election) {
    std::vector<Duration> turns;
    for (int i = 0; i < GetParam(); ++i) {
      turns.push_back(Candidacy::Turn(any(random)));
    }
    const Duration first = *std::ranges::min_element(turns);
    attempts += static_cast<int>(std::ranges::count_if(
      turns, [&](Duration aTurn) { return aTurn < first + kTakes; }));
  }
  EXPECT_LT(static_cast<double>(attempts) / kElections, kMostAttempts);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         CandidateCountTest,
                         testing::Values(3, 20, 50, 183, 366, 1130));

struct TurnCase
{
  const char* mName;
  double mRandom;
  Duration mEarliest;
  Duration mLatest;
};

class TurnTest : public testing::TestWithParam<TurnCase>
{};

TEST_P(TurnTest, IsWithinTheStagger)
{
  const Duration turn = Candidacy::Turn(GetParam().mRandom);
  EXPECT_GE(turn, GetParam().mEarliest);
  EXPECT_LE(turn, GetParam().mLatest);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  TurnTest,
  testing::Values(
    TurnCase{ "First", 0.0, Duration::zero(), Duration::zero() },
    TurnCase{ "Median", 0.5, Candidacy::kStagger / 2, Candidacy::kStagger },
    TurnCase{ "Last",
              1.0,
              Candidacy::kStagger - milliseconds(1),
              Candidacy::kStagger }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(CandidacyTurn, AWeakSchedulerAddsItsTurn)
{
  const Instant start{ std::chrono::seconds(10) };
  Candidacy candidacy(0.12, milliseconds(80));
  EXPECT_EQ(candidacy.TakesIn(start), milliseconds(580));
  EXPECT_FALSE(candidacy.MayTake(start + milliseconds(579)));
  EXPECT_TRUE(candidacy.MayTake(start + milliseconds(580)));
}

TEST(CandidacyAgain, AnOwnerSeenInBetweenRestartsTheWait)
{
  const Instant start{ std::chrono::seconds(10) };
  Candidacy candidacy(0.12);
  EXPECT_FALSE(candidacy.MayTake(start));
  candidacy.OnOwnerSeen();
  EXPECT_FALSE(candidacy.MayTake(start + std::chrono::seconds(9)));
}

} // namespace

} // namespace foxtailbarrow::cell::test
