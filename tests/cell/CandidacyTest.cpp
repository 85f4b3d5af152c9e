#include <string>

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
