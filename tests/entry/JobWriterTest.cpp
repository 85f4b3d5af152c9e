#include "apps/entry/JobWriter.h"

#include <gtest/gtest.h>

#include "apps/entry/JobKeys.h"
#include "apps/entry/JobSubmission.h"
#include "src/core/message/Codec.h"
#include "src/platform/store/MemoryStore.h"

namespace foxtailbarrow::entry {
namespace {

constexpr ShardId kShard = 3;

JobSpec Spec(std::string aProgram = "report")
{
  JobSpec spec;
  spec.mId = JobId("hydro.k1");
  spec.mCustomer = CustomerId("hydro");
  spec.mDeclared = { 1000, 100, 0 };
  spec.mProgram = std::move(aProgram);
  return spec;
}

class JobWriterTest : public testing::Test
{
protected:
  JobRecord Stored()
  {
    const auto entry = mStore.Read(JobKey(kShard, Spec().mId));
    return FromJsonText<JobRecord>(entry->mValue).value();
  }

  void Overwrite(const JobRecord& aRecord)
  {
    const std::string key = JobKey(kShard, aRecord.mSpec.mId);
    const auto entry = mStore.Read(key);
    const Revision expected = entry.ok() ? entry->mModRevision : 0;
    ASSERT_TRUE(
      mStore
        .Commit({ { { key, expected } }, { { key, ToJsonText(aRecord), 0 } } })
        ->mApplied);
  }

  MemoryStore mStore;
  JobWriter mWriter{ mStore };
};

TEST_F(JobWriterTest, AcceptsAJobOnce)
{
  EXPECT_TRUE(
    std::holds_alternative<Submitted>(mWriter.Submit(kShard, Spec())));
  EXPECT_TRUE(
    std::holds_alternative<Submitted>(mWriter.Submit(kShard, Spec())));
  EXPECT_TRUE(std::holds_alternative<SubmissionConflict>(
    mWriter.Submit(kShard, Spec("other"))));
  EXPECT_EQ(Stored().mState, JobState::Queued);
}

TEST_F(JobWriterTest, FindsAJobWhoseReplyWasLost)
{
  mStore.SetFaults({ .mLoseReplies = 1 });
  EXPECT_TRUE(
    std::holds_alternative<Submitted>(mWriter.Submit(kShard, Spec())));
  EXPECT_EQ(Stored().mState, JobState::Queued);
}

TEST_F(JobWriterTest, ReportsNotRunIfTheStoreIsUnavailable)
{
  mStore.SetFaults({ .mOutage = true });
  const auto result = mWriter.Submit(kShard, Spec());
  ASSERT_TRUE(std::holds_alternative<SubmissionFailed>(result));
  EXPECT_EQ(std::get<SubmissionFailed>(result).mVerdict, Verdict::NotRun);
  mStore.SetFaults({});
  EXPECT_FALSE(mStore.Read(JobKey(kShard, Spec().mId)).ok());
}

TEST_F(JobWriterTest, AcceptsARepeatedSubmissionOfABlockedJob)
{
  JobRecord blocked;
  blocked.mSpec = Spec();
  blocked.mState = JobState::Cancelled;
  blocked.mReason = std::string(ToString(Reason::WaitingForStore));
  Overwrite(blocked);
  EXPECT_TRUE(
    std::holds_alternative<Submitted>(mWriter.Submit(kShard, Spec())));
  EXPECT_EQ(Stored().mState, JobState::Queued);
}

TEST_F(JobWriterTest, DoesNotReopenAJobThatItsCustomerCancelled)
{
  JobRecord cancelled;
  cancelled.mSpec = Spec();
  cancelled.mState = JobState::Cancelled;
  cancelled.mCancelRequested = true;
  cancelled.mReason = std::string(ToString(Reason::CancelRequested));
  Overwrite(cancelled);
  EXPECT_TRUE(
    std::holds_alternative<Submitted>(mWriter.Submit(kShard, Spec())));
  EXPECT_EQ(Stored().mState, JobState::Cancelled);
}

TEST_F(JobWriterTest, CancelsOnceAndNeverAfterTheEnd)
{
  EXPECT_EQ(mWriter.Cancel(kShard, Spec().mId), CancelResult::Unknown);
  mWriter.Submit(kShard, Spec());
  EXPECT_EQ(mWriter.Cancel(kShard, Spec().mId), CancelResult::Accepted);
  EXPECT_TRUE(Stored().mCancelRequested);
  EXPECT_EQ(mWriter.Cancel(kShard, Spec().mId), CancelResult::Accepted);
  JobRecord finished = Stored();
  finished.mState = JobState::Finished;
  finished.mCancelRequested = false;
  Overwrite(finished);
  EXPECT_EQ(mWriter.Cancel(kShard, Spec().mId), CancelResult::AlreadyFinal);
}

TEST_F(JobWriterTest, ResolvesALostReplyOfACancellationByReadingBack)
{
  mWriter.Submit(kShard, Spec());
  mStore.SetFaults({ .mLoseReplies = 1 });
  EXPECT_EQ(mWriter.Cancel(kShard, Spec().mId), CancelResult::Accepted);
}

class BadSubmission : public testing::TestWithParam<const char*>
{};

TEST_P(BadSubmission, IsRefused)
{
  EXPECT_EQ(ParseSubmission(GetParam(), "u").status().code(),
            absl::StatusCode::kInvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadSubmission,
  testing::Values(
    "",
    "[]",
    "{",
    R"({"customer":"h"})",
    R"({"customer":"h","kind":"batch","declared":{},"program":5})",
    R"({"customer":"h/","kind":"batch","declared":{},"program":"p"})",
    R"({"customer":"h","kind":"odd","declared":{},"program":"p"})",
    R"({"customer":"h","kind":"batch","declared":{"millicores":-1},)"
    R"("program":"p"})",
    R"({"customer":"h","kind":"batch","declared":{},"program":"p","id":"h.1"})",
    R"({"customer":"h","kind":"batch","declared":{},"program":"p","extra":1})",
    R"({"customer":"h","kind":"batch","declared":{"cores":1},"program":"p"})",
    R"({"customer":"h","kind":"batch","declared":{},"program":"p",)"
    R"("declaredRunTimeUs":-3})"));

TEST(Submission, GetsAnIdThatNamesItsCustomer)
{
  const auto spec = ParseSubmission(
    R"({"customer":"h","kind":"standing","declared":{},"program":"p"})", "u7");
  ASSERT_TRUE(spec.ok()) << spec.status();
  EXPECT_EQ(spec->mId, JobId("h.u7"));
  EXPECT_EQ(UniquePart("key", 1), UniquePart("key", 2));
  EXPECT_NE(UniquePart("", 1), UniquePart("", 2));
}

} // namespace
} // namespace foxtailbarrow::entry
