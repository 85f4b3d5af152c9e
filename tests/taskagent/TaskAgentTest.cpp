#include <string>
#include <vector>

#include "tests/taskagent/TaskAgentFixture.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::seconds;

TEST_F(TaskAgentTest, AWorkerThatShrankIsNotLoadedBeyondItsCapacity)
{
  using enum cell::StartOutcome;
  mTestRuntime.RunAndWait([this] {
    ASSERT_TRUE(Attach().ok());
    AwaitBeats();
    EXPECT_EQ(Order(3), std::vector({ Started, Started, Started }));
    mWorker->Resize({ 4000, 64'000, 0 });
    AwaitBeats();
    EXPECT_EQ(Order(3), std::vector({ Started, OverCapacity, OverCapacity }));
    EXPECT_EQ(mStarts, 4);
    mWorker->Resize({ 6000, 64'000, 0 });
    AwaitBeats();
    EXPECT_EQ(Order(3), std::vector({ Started, Started, OverCapacity }));
  });
}

/// A network cut delayed a heartbeat until its worker had crashed and restarted
/// as another incarnation.
TEST_F(TaskAgentTest, ALateHeartbeatOfACrashedIncarnationChangesNothing)
{
  mTestRuntime.RunAndWait([this] {
    AwaitBeats();
    const std::string dead = mWorker->Id();
    mWorker->Crash();
    mWorker->Restart(standin::RestartId::New);
    AwaitBeats();
    net::HttpRequest late;
    late.mMethod = "PUT";
    late.mTarget = "/runners/" + dead;
    late.mBody = R"({"Service":"service","Addr":")" +
                 ToString(mSettings.mWorker) +
                 R"(","Zone":"zone","State":"ready","DrainLeftMs":0,)"
                 R"("CallSeq":900,"Capacity":{"Cpu":1,"MemMb":1},)"
                 R"("Labels":[]})";
    EXPECT_TRUE(mClient.Call(mSettings.mControl, late, seconds(2)).ok());
    const auto attached = Attach();
    ASSERT_TRUE(attached.ok()) << attached.status();
    EXPECT_EQ(attached->mState.mInfo.mIncarnation.mId.Value(), mWorker->Id());
    EXPECT_EQ(attached->mState.mInfo.mCapacity.mMillicores, 16'000);
  });
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
