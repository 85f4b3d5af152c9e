#include <memory>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/Election.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/net/TypedRpc.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/PlainOwner.h"
#include "tests/scheduler/TakeCell.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;

struct RefusalCase
{
  const char* mName;
  cell::Generation mKnown; ///< To the agents; the owner's is 1.
  bool mTermEnds;
};

/// An owner whose agents all refuse to be attached.
class DeposedOwnerTest : public testing::TestWithParam<RefusalCase>
{
protected:
  static constexpr int kAgents = 20;

  void SetUp() override
  {
    net::AddTyped<cell::AttachRequest>(mDispatcher,
                                       cell::kAttachWithStartTimeMethod,
                                       [this](const cell::AttachRequest&) {
                                         ++mAttaches;
                                         cell::AttachReply reply;
                                         reply.mGeneration = GetParam().mKnown;
                                         return reply;
                                       });
    auto agents = net::HttpServer::Start(
      mRuntime, { "127.0.0.1", 0 }, [this](net::HttpRequest& aRequest) {
        return mDispatcher.Handle(aRequest);
      });
    ASSERT_TRUE(agents.ok());
    mAgents = *std::move(agents);
    mRuntime.RunAndWait([this] {
      cell::AgentContact contact;
      contact.mEndpoint = mAgents->ListeningEndpoint();
      for (int i = 0; i < kAgents; ++i) {
        const std::string key =
          std::string(cell::kAgentPrefix) + "agent-" + std::to_string(i);
        ASSERT_TRUE(
          mStore.Commit({ {}, { { key, ToJsonText(contact) } } }).ok());
      }
    });
  }

  void TearDown() override
  {
    mRuntime.RunAndWait([this] {
      mElection.Resign();
      mStore.Close();
      boost::this_fiber::sleep_for(std::chrono::seconds(1));
    });
  }

  net::FiberRuntime mRuntime{ 1 };
  MemoryStore mStore;
  net::HttpClient mClient{ mRuntime };
  net::RpcClient mRpc{ mClient };
  net::RpcDispatcher mDispatcher;
  std::unique_ptr<net::HttpServer> mAgents;
  SchedulerSettings mSettings;
  std::shared_ptr<CellOwner> mOwner;
  Election mElection{
    mSettings,
    {},
    mStore,
    [this](const cell::OwnerTerm& aTerm) {
      mOwner = MakePlainOwner(
        mRuntime, mStore, mRpc, aTerm, {}, { "127.0.0.1", 1 }, [this] {
          mElection.Superseded();
        });
      return mOwner;
    }
  };
  int mAttaches = 0;
};

/// An owner that the store refused did not learn that it was replaced. It tried
/// to attach every agent each 150 ms, beside the new owner, until the store
/// answered again.
TEST_P(DeposedOwnerTest, EndsItsTermWithTheFirstLaterGeneration)
{
  mRuntime.RunAndWait([this] {
    TakeCell(mElection);
    ASSERT_NE(mOwner, nullptr);
    boost::this_fiber::sleep_for(milliseconds(200));
    const int attaches = mAttaches;
    boost::this_fiber::sleep_for(milliseconds(500));
    EXPECT_EQ(mOwner->Active(), !GetParam().mTermEnds);
    if (GetParam().mTermEnds) {
      EXPECT_LE(attaches, kAgents);
      EXPECT_EQ(mAttaches, attaches);
    } else {
      EXPECT_GT(mAttaches, attaches);
    }
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  DeposedOwnerTest,
  testing::Values(RefusalCase{ "LaterGeneration", 2, true },
                  RefusalCase{ "OwnGeneration", 1, false },
                  RefusalCase{ "NoGeneration", 0, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::scheduler::test
