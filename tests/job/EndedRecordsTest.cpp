#include "src/core/job/EndedRecords.h"

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::hours;

constexpr ShardId kShard = 2;
constexpr Instant kStart{ hours(1) };
const JobId kJob("hydro.k1");

struct Observation
{
  Duration mLater;
  Revision mRevision;
  bool mMayDelete;
};

class EndedRecord : public testing::TestWithParam<Observation>
{};

TEST_P(EndedRecord, MayBeDeletedAfterTheRetentionTime)
{
  EndedRecords records{ hours(24) };
  EXPECT_FALSE(records.OnFinalRecord(kShard, kJob, 7, kStart));
  EXPECT_EQ(records.OnFinalRecord(
              kShard, kJob, GetParam().mRevision, kStart + GetParam().mLater),
            GetParam().mMayDelete);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EndedRecord,
                         testing::Values(Observation{ hours(23), 7, false },
                                         Observation{ hours(24), 7, true },
                                         Observation{ hours(24), 8, false }));

TEST(EndedRecords, StartOverWithANewOwner)
{
  EndedRecords records{ hours(24) };
  records.OnFinalRecord(kShard, kJob, 7, kStart);
  records.ForgetShard(kShard);
  EXPECT_FALSE(records.OnFinalRecord(kShard, kJob, 7, kStart + hours(24)));
  records.Forget(kShard, kJob);
  EXPECT_EQ(records.Size(kShard), 0U);
}

} // namespace
} // namespace foxtailbarrow
