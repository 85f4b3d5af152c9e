#include <algorithm>
#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/JobRequestHandler.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/SilentStore.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAtOnce = milliseconds(50);
constexpr int kTries = 5;

Verdict VerdictOf(const cell::JobAnswer& aAnswer)
{
  const auto* refused = std::get_if<cell::JobRefused>(&aAnswer);
  return refused == nullptr ? Verdict::Ran : refused->mVerdict;
}

cell::JobRequest Submission(int aNumber)
{
  cell::SubmitJob submit;
  submit.mGraph.mId = JobId("job" + std::to_string(aNumber));
  submit.mGraph.mQueue = cell::QueueId("queue");
  submit.mGraph.mSteps.resize(1);
  return { std::move(submit), seconds(3) };
}

/// With the store silent for all and another scheduler dead, each caller waited
/// for that one's time-out: of 64 refusals of a played day 14 took 1.0 s.
TEST(SilentPeerTest, IsAskedByTheFirstRequestsOnly)
{
  net::FiberRuntime runtime(1);
  MemoryStore memory;
  SilentStore store(memory);
  PulsedStore pulsed(store);
  net::HttpClient client(runtime);
  net::RpcClient rpc(client);
  SchedulerSettings settings;
  Election election(settings, {}, pulsed, [](const cell::OwnerTerm&) {
    return std::shared_ptr<CellOwner>();
  });
  auto frozen =
    net::HttpServer::Start(runtime, { "127.0.0.1", 0 }, [](net::HttpRequest&) {
      boost::this_fiber::sleep_for(seconds(2));
      return net::HttpResponse();
    });
  ASSERT_TRUE(frozen.ok());
  JobRequestHandler desk(
    runtime, pulsed, rpc, election, { (*frozen)->ListeningEndpoint() });
  runtime.RunAndWait([&] {
    store.mSilent = true;
    int number = 0;
    desk.Answer(Submission(++number)); // The silence is noticed.
    // What was sent to the frozen one may have been carried out there.
    runtime.Spawn([&] {
      EXPECT_EQ(VerdictOf(desk.Answer(Submission(100))), Verdict::MayHaveRun);
    });
    boost::this_fiber::sleep_for(cell::PeerAvailability::kUsualAnswerTime * 2);
    // Others do not wait until that one has timed out.
    Duration quickest = seconds(1);
    for (int i = 0; i < kTries; ++i) {
      const Instant begin = MonotonicNow();
      EXPECT_EQ(VerdictOf(desk.Answer(Submission(++number))), Verdict::NotRun);
      quickest = std::min(quickest, MonotonicNow() - begin);
    }
    EXPECT_LT(quickest, kAtOnce);
    store.mSilent = false;
    boost::this_fiber::sleep_for(seconds(2));
  });
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
