#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/JobRequestHandler.h"
#include "src/core/cell/CellRecords.h"
#include "src/net/HttpClient.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/SilentStore.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Above a few switches between fibers, below the 100 ms that a request used to
/// wait for a silent store. Of several tries the quickest counts, since a busy
/// machine may hold up any one.
constexpr Duration kAtOnce = milliseconds(50);
constexpr int kTries = 5;
/// Until a silent store is known to be silent, and half a second for a busy
/// machine; a write that nobody gives up waits for as long as the store.
constexpr Duration kNoticed =
  cell::StoreHealth::kSilentAfter + milliseconds(500);

cell::JobRequest Submission(const std::string& aId)
{
  cell::SubmitJob submit;
  submit.mGraph.mId = JobId(aId);
  submit.mGraph.mQueue = cell::QueueId("queue");
  submit.mGraph.mSteps.resize(1);
  return { std::move(submit), seconds(3) };
}

/// A scheduler's desk over a store that may fall silent.
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

  void FallSilent()
  {
    mRuntime.RunAndWait([this] { mStore.mSilent = true; });
  }

  /// All that waits is carried out and answered.
  void Return()
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
  PulsedStore mPulsed;
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

/// The first request after the store fell silent used to be held for two
/// seconds of its three, for a second try that could only fail.
TEST_F(JobRequestHandlerTest,
       AWriteIntoSilenceIsGivenUpAsSoonAsTheSilenceIsNoticed)
{
  FallSilent();
  const auto [answer, took] = Ask(Submission("a"));
  EXPECT_EQ(VerdictOf(answer), Verdict::MayHaveRun);
  EXPECT_LT(took, kNoticed);
  Return();
  EXPECT_TRUE(Stored("a")); // It may have run, and it has.
}

TEST_F(JobRequestHandlerTest, WhileTheStoreIsSilentAJobIsRefusedAtOnceAsNotRun)
{
  FallSilent();
  Ask(Submission("a"));
  Duration quickest = seconds(1);
  for (int i = 0; i < kTries; ++i) {
    const auto [answer, took] = Ask(Submission("b" + std::to_string(i)));
    ASSERT_EQ(VerdictOf(answer), Verdict::NotRun);
    EXPECT_GE(std::get<cell::JobRefused>(answer).mRetryAfter, seconds(1));
    quickest = std::min(quickest, took);
  }
  EXPECT_LT(quickest, kAtOnce);
  Return();
  for (int i = 0; i < kTries; ++i) {
    EXPECT_FALSE(Stored("b" + std::to_string(i)));
  }
}

/// Its first submission may be stored yet: to say that it has not run would be
/// untrue.
TEST_F(JobRequestHandlerTest, AJobInDoubtIsNotSaidToHaveNotRun)
{
  FallSilent();
  Ask(Submission("a"));
  EXPECT_EQ(VerdictOf(Ask(Submission("a")).first), Verdict::MayHaveRun);
  Return();
  EXPECT_TRUE(
    std::holds_alternative<cell::JobAccepted>(Ask(Submission("a")).first));
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
