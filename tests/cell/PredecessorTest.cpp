#include <gtest/gtest.h>

#include "src/core/cell/records/CellRecords.h"
#include "src/core/cell/recovery/Predecessor.h"

namespace foxtailbarrow::cell::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow{ seconds(100) };
constexpr Revision kCell = 50;

/// Guards against both errors of a takeover: starting a task that an earlier
/// lease still covers, and waiting for leases that cannot exist.
struct PredecessorCase
{
  const char* mName;
  Duration mStopTime;
  Duration mOwnershipTimeout;
  bool mEnded;
  Revision mLearned;
  Duration mWait; ///< Without the margin for leases.
};

class PredecessorTest : public testing::TestWithParam<PredecessorCase>
{};

TEST_P(PredecessorTest, BoundsTheLeasesOfEarlierOwners)
{
  CellSettings settings;
  settings.mStopTime = GetParam().mStopTime;
  settings.mOwnershipTimeout = GetParam().mOwnershipTimeout;
  EXPECT_EQ(
    EarlierLeasesEnd(
      { GetParam().mEnded, kCell }, GetParam().mLearned, settings, kNow),
    kNow + GetParam().mWait + settings.mLeaseMargin);
}

constexpr Duration kUsual = milliseconds(5600);
constexpr Duration kLong = milliseconds(9600);

INSTANTIATE_TEST_SUITE_P(
  All,
  PredecessorTest,
  testing::Values(
    PredecessorCase{ "MayBeAlive",
                     kLongStop,
                     kUsual,
                     false,
                     kCell + 1,
                     kUsual },
    PredecessorCase{ "EndedAfterALongTerm",
                     kLongStop,
                     kUsual,
                     true,
                     kCell + 1,
                     milliseconds(3500) },
    PredecessorCase{ "EndedAfterAShortTerm",
                     kLongStop,
                     kUsual,
                     true,
                     kCell,
                     kUsual },
    PredecessorCase{ "NothingLearned", kLongStop, kUsual, true, 0, kUsual },
    PredecessorCase{ "TheOwnerBeforeItGrantedForLonger",
                     kLongStop,
                     kLong,
                     true,
                     kCell + 1,
                     kLong - kLearnedSaveInterval },
    PredecessorCase{ "ShortStops",
                     milliseconds(400),
                     kUsual,
                     true,
                     kCell + 1,
                     kUsual }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
