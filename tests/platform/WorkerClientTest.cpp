#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "platform/WorkerClient.h"
#include "src/net/HttpServer.h"

namespace foxtailbarrow::platform::test {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr std::int64_t kStartedUnixMs = 1'764'793'845'123;
const cell::WorkerIncarnation kExpected("i-1", kStartedUnixMs);

struct ListCase
{
  const char* mName;
  const char* mList; ///< Of the process that listens.
  bool mReached;     ///< An order for kExpected is carried out.
  absl::StatusCode mCode;
};

/// A worker that answers every list with the same body.
class WorkerClientTest : public testing::TestWithParam<ListCase>
{
protected:
  void Listen(const std::string& aList)
  {
    auto server =
      net::HttpServer::Start(mRuntime,
                             { "127.0.0.1", 0 },
                             [this, aList](const net::HttpRequest& aRequest) {
                               net::HttpResponse response;
                               const bool list = aRequest.mTarget == "/hold";
                               response.mBody = list ? aList : "{}";
                               ++(list ? mLists : mStops);
                               return response;
                             });
    ASSERT_TRUE(server.ok());
    mServer = *std::move(server);
    mClient =
      std::make_unique<WorkerClient>(mRuntime, mServer->ListeningEndpoint());
    mClient->Expect(kExpected);
  }

  void TearDown() override
  {
    mClient.reset();
    mServer.reset();
  }

  absl::Status Stop() { return mClient->Stop({}, kTimeout); }

  net::FiberRuntime mRuntime{ 1 };
  std::unique_ptr<net::HttpServer> mServer;
  std::unique_ptr<WorkerClient> mClient;
  int mLists = 0;
  int mStops = 0;
};

TEST_P(WorkerClientTest, SendsOrdersToTheExpectedIncarnationAlone)
{
  Listen(GetParam().mList);
  mRuntime.RunAndWait([this] {
    const absl::Status status = Stop();
    EXPECT_EQ(status.code(), GetParam().mCode) << status;
    EXPECT_EQ(mStops, GetParam().mReached ? 1 : 0);
    if (!status.ok()) {
      EXPECT_EQ(VerdictOf(status), Verdict::NotRun);
    }
    const auto present = mClient->IsPresent(kExpected, 0, kTimeout);
    EXPECT_EQ(present.ok() && *present, GetParam().mReached);
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  WorkerClientTest,
  testing::Values(
    ListCase{ "Expected",
              R"({"born":1764793845123})",
              true,
              absl::StatusCode::kOk },
    ListCase{ "Later",
              R"({"born":1764793845124})",
              false,
              absl::StatusCode::kAborted },
    ListCase{ "Earlier", R"({"born":7})", false, absl::StatusCode::kAborted },
    ListCase{ "Absent", "{}", false, absl::StatusCode::kAborted },
    ListCase{ "Negative",
              R"({"born":-1})",
              false,
              absl::StatusCode::kInvalidArgument },
    ListCase{ "Text",
              R"({"born":"1764793845123"})",
              false,
              absl::StatusCode::kInvalidArgument },
    ListCase{ "NoJson", "[", false, absl::StatusCode::kInvalidArgument }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST_F(WorkerClientTest, AsksOnceOnEachConnection)
{
  Listen(R"({"born":1764793845123})");
  mRuntime.RunAndWait([this] {
    EXPECT_TRUE(Stop().ok());
    EXPECT_TRUE(Stop().ok());
    EXPECT_EQ(mLists, 1);
    mClient->Expect(cell::WorkerIncarnation("i-1", kStartedUnixMs + 1));
    EXPECT_TRUE(absl::IsAborted(Stop()));
    EXPECT_EQ(mLists, 2);
    EXPECT_EQ(mStops, 2);
  });
}

/// A platform of an earlier version gives each process an id of its own.
TEST_F(WorkerClientTest, AsksNothingOfAWorkerWithoutATimeOfStart)
{
  Listen("{}");
  mRuntime.RunAndWait([this] {
    mClient->Expect(cell::WorkerIncarnation("i-1"));
    EXPECT_TRUE(Stop().ok());
    EXPECT_EQ(mLists, 0);
  });
}

} // namespace

} // namespace foxtailbarrow::platform::test
