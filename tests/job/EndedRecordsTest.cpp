#include "src/core/job/EndedRecords.h"

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::hours;

constexpr ShardId kShard = 2;
constexpr Instant kStart{ hours(1) };
const JobId kJob("hydro.k1");

struct Sight
{
  Duration mLater;
  Revision mRevision;
  bool mMayGo;
};

class EndedRecord : public testing::TestWithParam<Sight>
{};

TEST_P(EndedRecord, GoesAfterItWasTheSameForTheKeepingTime)
{
  EndedRecords records{ hours(24) };
  EXPECT_FALSE(records.Seen(kShard, kJob, 7, kStart));
  EXPECT_EQ(records.Seen(
              kShard, kJob, GetParam().mRevision, kStart + GetParam().mLater),
            GetParam().mMayGo);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EndedRecord,
                         testing::Values(Sight{ hours(23), 7, false },
                                         Sight{ hours(24), 7, true },
                                         Sight{ hours(24), 8, false }));

TEST(EndedRecords, StartAnewWithANewOwner)
{
  EndedRecords records{ hours(24) };
  records.Seen(kShard, kJob, 7, kStart);
  records.ForgetShard(kShard);
  EXPECT_FALSE(records.Seen(kShard, kJob, 7, kStart + hours(24)));
  records.Forget(kShard, kJob);
  EXPECT_EQ(records.Size(kShard), 0U);
}

} // namespace
} // namespace foxtailbarrow
