#include <optional>
#include <set>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/JobRequestHandler.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/SilentStore.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// More than a few fiber switches, less than the 100 ms that a request used to
/// wait for a silent store. The fastest of several attempts counts, since a
/// busy machine may delay any one of them.
constexpr Duration kImmediate = milliseconds(50);
constexpr int kAttempts = 5;
/// Time to detect a silent store, plus half a second for a busy machine. A
/// write that is not given up waits until the store answers.
constexpr Duration kSilenceDetected =
  cell::StoreHealth::kSilentAfter + milliseconds(500);

cell::JobRequest Submission(const std::string& aId)
{
  cell::SubmitJob submit;
  submit.mGraph.mId = JobId(aId);
  submit.mGraph.mQueue = cell::QueueId("queue");
  submit.mGraph.mSteps.resize(1);
  return { std::move(submit), seconds(3) };
}

/// The request handler of a scheduler with a store that may stop answering.
class JobRequestHandlerTest : public testing::Test
{
protected:
  JobRequestHandlerTest()
    : mStore(mMemory)
    , mPulsed(mStore)
    , mClient(mRuntime)
    , mRpc(mClient)
    , mElection(
        mSettings,
        {},
        mPulsed,
        [](const cell::OwnerTerm&) { return std::shared_ptr<CellOwner>(); })
    , mHandler(mRuntime, mPulsed, mRpc, mElection, {})
  {
  }

  /// The answer and how long it took.
  std::pair<cell::JobAnswer, Duration> Ask(const cell::JobRequest& aRequest)
  {
    std::pair<cell::JobAnswer, Duration> result;
    mRuntime.RunAndWait([&] {
      const Instant begin = MonotonicNow();
      result.first = mHandler.Answer(aRequest);
      result.second = MonotonicNow() - begin;
    });
    return result;
  }

  void StopStore()
  {
    mRuntime.RunAndWait([this] { mStore.mSilent = true; });
  }

  /// Lets the store process and answer all pending calls.
  void ResumeStore()
  {
    mRuntime.RunAndWait([this] {
      mStore.mSilent = false;
      boost::this_fiber::sleep_for(milliseconds(50));
    });
  }

  bool Stored(const std::string& aId)
  {
    bool stored = false;
    mRuntime.RunAndWait(
      [&] { stored = mMemory.Read(cell::JobKey(JobId(aId))).ok(); });
    return stored;
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mMemory;
  SilentStore mStore;
  HealthTrackingStore mPulsed;
  net::HttpClient mClient;
  net::RpcClient mRpc;
  SchedulerSettings mSettings;
  Election mElection;
  JobRequestHandler mHandler;
};

Verdict VerdictOf(const cell::JobAnswer& aAnswer)
{
  const auto* refused = std::get_if<cell::JobRefused>(&aAnswer);
  return refused == nullptr ? Verdict::Ran : refused->mVerdict;
}

TEST_F(JobRequestHandlerTest, AnAcceptedJobIsStored)
{
  const auto [answer, took] = Ask(Submission("a"));
  EXPECT_TRUE(std::holds_alternative<cell::JobAccepted>(answer));
  EXPECT_TRUE(Stored("a"));
}

/// The first request after the store stopped answering waited two of its three
/// seconds for a retry that could only fail.
TEST_F(JobRequestHandlerTest,
       AWriteToASilentStoreIsGivenUpAsSoonAsTheSilenceIsDetected)
{
  StopStore();
  const auto [answer, took] = Ask(Submission("a"));
  EXPECT_EQ(VerdictOf(answer), Verdict::MayHaveRun);
  EXPECT_LT(took, kSilenceDetected);
  ResumeStore();
  EXPECT_TRUE(Stored("a")); // "May have run" was right.
}

TEST_F(JobRequestHandlerTest, WhileTheStoreIsSilentAJobIsRefusedAtOnceAsNotRun)
{
  StopStore();
  Ask(Submission("a"));
  Duration fastest = seconds(1);
  for (int i = 0; i < kAttempts; ++i) {
    const auto [answer, took] = Ask(Submission("b" + std::to_string(i)));
    ASSERT_EQ(VerdictOf(answer), Verdict::NotRun);
    EXPECT_GE(std::get<cell::JobRefused>(answer).mRetryAfter, seconds(1));
    fastest = std::min(fastest, took);
  }
  EXPECT_LT(fastest, kImmediate);
  ResumeStore();
  for (int i = 0; i < kAttempts; ++i) {
    EXPECT_FALSE(Stored("b" + std::to_string(i)));
  }
}

/// The write of the first submission may still be applied, so the second one
/// must not be refused as not run.
TEST_F(JobRequestHandlerTest, AJobInDoubtIsNotRefusedAsNotRun)
{
  StopStore();
  Ask(Submission("a"));
  EXPECT_EQ(VerdictOf(Ask(Submission("a")).first), Verdict::MayHaveRun);
  ResumeStore();
  EXPECT_TRUE(
    std::holds_alternative<cell::JobAccepted>(Ask(Submission("a")).first));
}

cell::JobRequest Cancellation(const std::string& aId)
{
  return { cell::CancelJob{ JobId(aId) }, seconds(3) };
}

/// Guards against jobs that run after their cancellation was acknowledged: it
/// was told that no such job exists while a submission that the store had not
/// answered could still take effect.
class CancelledBeforeStoredTest : public JobRequestHandlerTest
{
protected:
  static cell::StoredJob Job(const std::string& aId)
  {
    return { std::get<cell::SubmitJob>(Submission(aId).mBody).mGraph,
             1,
             false };
  }

  /// The store carries out the write of a submission now. True if the job may
  /// run because of it.
  bool LateSubmissionTakesEffect(const std::string& aId)
  {
    const std::string key = cell::JobKey(JobId(aId));
    bool applied = false;
    mRuntime.RunAndWait([&] {
      const auto result =
        mMemory.Commit({ { { key, 0 } }, { { key, ToJsonText(Job(aId)) } } });
      applied = result.ok() && result->mApplied;
    });
    return applied;
  }

  std::optional<cell::StoredJob> Record(const std::string& aId)
  {
    std::optional<cell::StoredJob> record;
    mRuntime.RunAndWait([&] {
      const auto entry = mMemory.Read(cell::JobKey(JobId(aId)));
      if (entry.ok()) {
        record = *FromJsonText<cell::StoredJob>(entry->mValue);
      }
    });
    return record;
  }

  cell::JobAnswer Answer(const cell::JobRequest& aRequest)
  {
    return Ask(aRequest).first;
  }
};

TEST_F(CancelledBeforeStoredTest, ALateSubmissionTakesNoEffect)
{
  EXPECT_TRUE(
    std::holds_alternative<cell::NoSuchJob>(Answer(Cancellation("a"))));
  EXPECT_FALSE(LateSubmissionTakesEffect("a"));
  EXPECT_TRUE(
    std::holds_alternative<cell::NoSuchJob>(Answer(Cancellation("a"))));
}

/// The client has asked for both, and the cancellation was acknowledged.
TEST_F(CancelledBeforeStoredTest, ALaterSubmissionIsStoredAsCancelled)
{
  Answer(Cancellation("a"));
  EXPECT_TRUE(
    std::holds_alternative<cell::JobAccepted>(Answer(Submission("a"))));
  const auto record = Record("a");
  ASSERT_TRUE(record.has_value());
  EXPECT_TRUE(record->mCancelled);
  EXPECT_FALSE(cell::IsTombstone(*record));
  EXPECT_TRUE(
    std::holds_alternative<cell::JobCancelled>(Answer(Cancellation("a"))));
}

TEST_F(CancelledBeforeStoredTest, ATombstoneIsNotShownAsAJob)
{
  Answer(Cancellation("a"));
  const cell::JobRequest read{ cell::ReadJob{ JobId("a") }, seconds(3) };
  EXPECT_TRUE(std::holds_alternative<cell::NoSuchJob>(Answer(read)));
}

TEST_F(CancelledBeforeStoredTest, ASubmissionInDoubtIsEitherCancelledOrVoid)
{
  StopStore();
  EXPECT_EQ(VerdictOf(Answer(Submission("a"))), Verdict::MayHaveRun);
  EXPECT_FALSE(
    std::holds_alternative<cell::NoSuchJob>(Answer(Cancellation("a"))));
  ResumeStore();
  EXPECT_TRUE(
    std::holds_alternative<cell::JobCancelled>(Answer(Cancellation("a"))));
  EXPECT_TRUE(Record("a")->mCancelled);
}

/// The condition of the submission has failed: a record is there, of the same
/// job or of its cancellation.
TEST_F(CancelledBeforeStoredTest, ARecordThatCannotBeReadIsNotCalledNotRun)
{
  ASSERT_TRUE(
    std::holds_alternative<cell::JobAccepted>(Answer(Submission("a"))));
  mRuntime.RunAndWait([this] {
    mStore.mRefusesReads = true;
    mStore.mHidesConflicts = true;
  });
  EXPECT_EQ(VerdictOf(Answer(Submission("a"))), Verdict::MayHaveRun);
}

/// Cancellations of jobs that never existed must not fill the store.
TEST_F(CancelledBeforeStoredTest, TombstonesAreLimitedAndUnderALease)
{
  constexpr int kCancellations = 500;
  const Instant begin = MonotonicNow();
  int refused = 0;
  int acknowledged = 0;
  for (int i = 0; i < kCancellations; ++i) {
    const cell::JobAnswer answer = Answer(Cancellation(std::to_string(i)));
    if (std::holds_alternative<cell::NoSuchJob>(answer)) {
      ++acknowledged;
      continue;
    }
    const auto* refusal = std::get_if<cell::JobRefused>(&answer);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->mVerdict, Verdict::NotRun);
    EXPECT_GE(refusal->mRetryAfter, seconds(1));
    ++refused;
  }
  const std::chrono::duration<double> took = MonotonicNow() - begin;
  EXPECT_GE(acknowledged, TombstoneLeases::kBurst);
  EXPECT_LE(acknowledged,
            static_cast<double>(TombstoneLeases::kBurst) + 1 +
              TombstoneLeases::kPerSecond * took.count());
  EXPECT_EQ(acknowledged + refused, kCancellations);
  mRuntime.RunAndWait([&] {
    const auto records = mMemory.List(cell::kJobPrefix);
    ASSERT_TRUE(records.ok());
    std::set<StoreLease> leases;
    for (const StoreEntry& entry : records->mEntries) {
      leases.insert(entry.mLease);
    }
    EXPECT_EQ(leases.size(), 1U);
    EXPECT_FALSE(leases.contains(0));
  });
}

/// Guards against jobs that pile up in the store while no owner says whether it
/// has memory for them.
class FullCellTest : public JobRequestHandlerTest
{
protected:
  static cell::JobRequest LargeSubmission(int aNumber)
  {
    cell::JobRequest request = Submission("job" + std::to_string(aNumber));
    std::get<cell::SubmitJob>(request.mBody).mGraph.mPayload =
      std::string(cell::kMaxPayloadBytes, 'x');
    return request;
  }
};

TEST_F(FullCellTest, RefusesJobsAtOnceAndTruly)
{
  constexpr int kMaxJobs = 2000;
  int stored = 0;
  cell::JobAnswer answer = cell::JobAccepted{};
  while (std::holds_alternative<cell::JobAccepted>(answer) &&
         stored < kMaxJobs) {
    answer = Ask(LargeSubmission(stored)).first;
    stored += std::holds_alternative<cell::JobAccepted>(answer) ? 1 : 0;
  }
  ASSERT_LT(stored, kMaxJobs);
  EXPECT_GT(stored, 500);
  const auto* refusal = std::get_if<cell::JobRefused>(&answer);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->mCause, cell::RefusalCause::CellFull);
  EXPECT_EQ(refusal->mVerdict, Verdict::NotRun);
  EXPECT_GE(refusal->mRetryAfter, seconds(1));
  EXPECT_FALSE(Stored("job" + std::to_string(stored)));
  // A job that is stored is not refused when it is submitted again.
  EXPECT_TRUE(
    std::holds_alternative<cell::JobAccepted>(Ask(LargeSubmission(0)).first));
}

/// The job is stored, and will run, though nobody can see that now.
TEST_F(FullCellTest, DoesNotCallAStoredJobNotRunWhileItsRecordCannotBeRead)
{
  int stored = 0;
  while (std::holds_alternative<cell::JobAccepted>(
    Ask(LargeSubmission(stored)).first)) {
    ++stored;
  }
  mRuntime.RunAndWait([this] { mStore.mRefusesReads = true; });
  EXPECT_EQ(VerdictOf(Ask(LargeSubmission(0)).first), Verdict::MayHaveRun);
}

TEST_F(FullCellTest, RefusesAJobWhoseRecordIsTooLong)
{
  cell::JobRequest request = Submission("a");
  cell::JobGraph& graph = std::get<cell::SubmitJob>(request.mBody).mGraph;
  graph.mSteps.resize(cell::kMaxSteps);
  for (cell::StepSpec& step : graph.mSteps) {
    step.mAfter.assign(20'000, 0);
  }
  const cell::JobAnswer answer = Ask(request).first;
  const auto* refusal = std::get_if<cell::JobRefused>(&answer);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->mCause, cell::RefusalCause::BadRequest);
  EXPECT_FALSE(Stored("a"));
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
