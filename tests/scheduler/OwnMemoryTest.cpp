#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/JobRequestHandler.h"
#include "src/core/cell/JobForward.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/net/TypedRpc.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/PlainOwner.h"
#include "tests/scheduler/SilentStore.h"
#include "tests/scheduler/TakeCell.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the lease of the owner's key, shorter than its last grants.
constexpr Duration kKeyLapsed = milliseconds(2300);

/// Another scheduler that is not the owner and cannot reach the store.
struct PeerCase
{
  const char* mName;
  bool mAnswers;
  /// Newest generation that it has seen, relative to the owner's.
  cell::Generation mGenerationDelta;
  bool mSawOwner;
  bool mShown; ///< The owner answers from its own state.
};

class OwnMemoryTest : public testing::TestWithParam<PeerCase>
{
protected:
  OwnMemoryTest()
    : mStore(mMemory)
    , mPulsed(mStore)
    , mClient(mRuntime)
    , mRpc(mClient)
    , mElection(mSettings, {}, mPulsed, [this](const cell::OwnerTerm& aTerm) {
      return MakePlainOwner(mRuntime, mPulsed, mRpc, aTerm);
    })
  {
    net::AddTyped<cell::ForwardedRequest>(
      mDispatcher, cell::kForwardMethod, [this](const cell::ForwardedRequest&) {
        cell::ForwardedReply reply;
        reply.mOutcome = cell::ForwardedOutcome::NotRun;
        reply.mGeneration = mPeerGeneration;
        return reply;
      });
    auto server = net::HttpServer::Start(
      mRuntime, { "127.0.0.1", 0 }, [this](net::HttpRequest& aRequest) {
        return mDispatcher.Handle(aRequest);
      });
    EXPECT_TRUE(server.ok());
    const Endpoint peer = (*server)->ListeningEndpoint();
    if (GetParam().mAnswers) {
      mPeer = *std::move(server);
    }
    mHandler = std::make_unique<JobRequestHandler>(
      mRuntime, mPulsed, mRpc, mElection, std::vector<Endpoint>{ peer });
  }

  void TearDown() override
  {
    mRuntime.RunAndWait([this] {
      mStore.mSilent = false;
      mElection.Superseded();
      mMemory.Close();
      boost::this_fiber::sleep_for(seconds(1));
    });
  }

  cell::JobAnswer Submit(const std::string& aId)
  {
    cell::SubmitJob submit;
    submit.mGraph.mId = JobId(aId);
    submit.mGraph.mQueue = cell::QueueId("queue");
    submit.mGraph.mSteps.resize(1);
    return mHandler->Answer({ std::move(submit), seconds(3) });
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mMemory;
  SilentStore mStore;
  HealthTrackingStore mPulsed;
  net::HttpClient mClient;
  net::RpcClient mRpc;
  SchedulerSettings mSettings;
  Election mElection;
  cell::Generation mPeerGeneration = 0;
  net::RpcDispatcher mDispatcher;
  std::unique_ptr<net::HttpServer> mPeer;
  std::unique_ptr<JobRequestHandler> mHandler;
};

/// An owner lost its connection to the store and was replaced without noticing.
/// The next owner reported a job as completed and crashed, and the third
/// scheduler could not reach the store. The grants of the first owner lasted
/// for another 3.6 s, in which it answered with its stale state: callers that
/// had seen the job as completed saw it as queued.
TEST_P(OwnMemoryTest, IsUsedOnlyIfNoSchedulerKnowsOfALaterOwner)
{
  mRuntime.RunAndWait([this] {
    TakeCell(mElection);
    ASSERT_NE(mElection.Owner(), nullptr);
    const cell::Generation own = mElection.KnownGeneration();
    mPeerGeneration =
      GetParam().mSawOwner ? own + GetParam().mGenerationDelta : 0;
    ASSERT_TRUE(std::holds_alternative<cell::JobAccepted>(Submit("job")));
    mStore.mSilent = true;
    Submit("other"); // Detects the silence of the store.
    boost::this_fiber::sleep_for(kKeyLapsed);
    const auto answer =
      mHandler->Answer({ cell::ReadJob{ JobId("job") }, seconds(3) });
    EXPECT_EQ(std::holds_alternative<cell::JobShown>(answer),
              GetParam().mShown);
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  OwnMemoryTest,
  testing::Values(PeerCase{ "PeerKnowsOfNoNewer", true, 0, true, true },
                  PeerCase{ "PeerKnowsOfANewer", true, 1, true, false },
                  PeerCase{ "PeerHasRestarted", true, 0, false, false },
                  PeerCase{ "PeerIsDead", false, 0, true, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::scheduler::test
