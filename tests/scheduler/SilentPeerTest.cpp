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

constexpr Duration kImmediate = milliseconds(50);
constexpr int kAttempts = 5;

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

/// While the store is silent for all schedulers and another scheduler does not
/// answer, each caller waited 1 s for the call to that scheduler to time out.
TEST(SilentPeerTest, IsAskedByTheFirstRequestsOnly)
{
  net::FiberRuntime runtime(1);
  MemoryStore memory;
  SilentStore store(memory);
  HealthTrackingStore pulsed(store);
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
  JobRequestHandler handler(
    runtime, pulsed, rpc, election, { (*frozen)->ListeningEndpoint() });
  runtime.RunAndWait([&] {
    store.mSilent = true;
    int number = 0;
    handler.Answer(Submission(++number)); // Detects the silence of the store.
    // The frozen scheduler may have carried out the request.
    runtime.Spawn([&] {
      EXPECT_EQ(VerdictOf(handler.Answer(Submission(100))),
                Verdict::MayHaveRun);
    });
    boost::this_fiber::sleep_for(cell::PeerAvailability::kUsualAnswerTime * 2);
    // Other requests do not wait for that call to time out.
    Duration fastest = seconds(1);
    for (int i = 0; i < kAttempts; ++i) {
      const Instant begin = MonotonicNow();
      EXPECT_EQ(VerdictOf(handler.Answer(Submission(++number))),
                Verdict::NotRun);
      fastest = std::min(fastest, MonotonicNow() - begin);
    }
    EXPECT_LT(fastest, kImmediate);
    store.mSilent = false;
    boost::this_fiber::sleep_for(seconds(2));
  });
}

} // namespace

} // namespace foxtailbarrow::scheduler::test
