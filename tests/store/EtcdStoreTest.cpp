#include <atomic>
#include <string>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpServer.h"
#include "src/platform/store/CountingStore.h"
#include "src/platform/store/EtcdCodec.h"
#include "src/platform/store/EtcdStore.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr char kApplied[] =
  R"({"header":{"revision":"7"},"succeeded":true,"kvs":[]})";

/// Answers every request alike and counts them.
struct FixedServer
{
  FixedServer(net::FiberRuntime& aRuntime, unsigned aStatus, std::string aBody)
    : mServer(net::HttpServer::Start(aRuntime,
                                     { "127.0.0.1", 0 },
                                     [=, this](net::HttpRequest&) {
                                       ++mRequests;
                                       net::HttpResponse response;
                                       response.mStatus = aStatus;
                                       response.mBody = aBody;
                                       return response;
                                     })
                .value())
  {
  }

  Endpoint At() const { return mServer->ListeningEndpoint(); }

  std::atomic<int> mRequests = 0;
  std::unique_ptr<net::HttpServer> mServer;
};

/// A port where nobody listens.
Endpoint ClosedEndpoint(net::FiberRuntime& aRuntime)
{
  return FixedServer(aRuntime, 200, "").At();
}

struct ReplyCase
{
  const char* mName;
  unsigned mStatus;
  const char* mBody;
  absl::StatusCode mCode;
  Verdict mOfWrite;
  bool mNextTried = false; ///< Whether a read goes on to the next endpoint.
};

class EtcdReply : public testing::TestWithParam<ReplyCase>
{
protected:
  net::FiberRuntime mRuntime{ 1 };
};

TEST_P(EtcdReply, BecomesAnErrorWithTheRightVerdict)
{
  const ReplyCase& reply = GetParam();
  FixedServer first(mRuntime, reply.mStatus, reply.mBody);
  FixedServer second(mRuntime, 200, kApplied);
  EtcdStore writer(mRuntime, { .mEndpoints = { first.At() } });
  EtcdStore reader(mRuntime, { .mEndpoints = { first.At(), second.At() } });
  mRuntime.RunAndWait([&] {
    const absl::Status written = writer.Commit({}).status();
    EXPECT_EQ(written.code(), reply.mCode) << written;
    EXPECT_EQ(VerdictOf(written), reply.mOfWrite) << written;
    EXPECT_EQ(reader.List("/").ok(), reply.mNextTried);
    EXPECT_EQ(second.mRequests, reply.mNextTried ? 1 : 0);
    const absl::Status read = writer.List("/").status();
    EXPECT_EQ(VerdictOf(read), Verdict::NotRun) << read;
  });
}

INSTANTIATE_TEST_SUITE_P(
  Replies,
  EtcdReply,
  testing::Values(
    ReplyCase{ "Ceiling",
               503,
               R"({"error":"etcdserver: too many requests","code":8})",
               absl::StatusCode::kResourceExhausted,
               Verdict::NotRun },
    ReplyCase{ "TooManyRequests",
               429,
               "",
               absl::StatusCode::kResourceExhausted,
               Verdict::NotRun },
    ReplyCase{ "NoLeader",
               503,
               R"({"error":"etcdserver: no leader","code":14})",
               absl::StatusCode::kUnavailable,
               Verdict::NotRun,
               true },
    ReplyCase{ "ProposalTimedOut",
               503,
               R"({"error":"etcdserver: request timed out","code":14})",
               absl::StatusCode::kUnavailable,
               Verdict::MayHaveRun,
               true },
    ReplyCase{ "GatewayTimeout",
               504,
               "<html>",
               absl::StatusCode::kDeadlineExceeded,
               Verdict::MayHaveRun,
               true },
    ReplyCase{ "BadRequest",
               400,
               R"({"error":"duplicate key","code":3})",
               absl::StatusCode::kInvalidArgument,
               Verdict::NotRun },
    ReplyCase{ "ServerError",
               500,
               "",
               absl::StatusCode::kInternal,
               Verdict::MayHaveRun },
    ReplyCase{ "NotJson",
               200,
               "hello",
               absl::StatusCode::kInternal,
               Verdict::MayHaveRun },
    ReplyCase{ "WrongTypes",
               200,
               R"({"header":[],"succeeded":"yes","kvs":7})",
               absl::StatusCode::kInternal,
               Verdict::MayHaveRun }),
  [](const auto& aInfo) { return aInfo.param.mName; });

class EtcdEndpoints : public testing::Test
{
protected:
  net::FiberRuntime mRuntime{ 1 };
};

TEST_F(EtcdEndpoints, GoesOnWhenNobodyListensAndStaysThere)
{
  FixedServer second(mRuntime, 200, kApplied);
  const Endpoint closed = ClosedEndpoint(mRuntime);
  EtcdStore store(mRuntime, { .mEndpoints = { closed, second.At() } });
  mRuntime.RunAndWait([&] {
    for (int call = 0; call < 3; ++call) {
      const auto result = store.Commit({});
      ASSERT_TRUE(result.ok()) << result.status();
      EXPECT_EQ(result->mRevision, 7);
    }
  });
  EXPECT_EQ(second.mRequests, 3);
}

TEST_F(EtcdEndpoints, DoesNotRepeatAWriteThatMayHaveRun)
{
  FixedServer first(mRuntime, 504, "");
  FixedServer second(mRuntime, 200, kApplied);
  EtcdStore store(mRuntime, { .mEndpoints = { first.At(), second.At() } });
  mRuntime.RunAndWait([&] {
    EXPECT_EQ(VerdictOf(store.Commit({}).status()), Verdict::MayHaveRun);
    EXPECT_EQ(second.mRequests, 0);
    EXPECT_TRUE(store.Commit({}).ok());
  });
}

TEST_F(EtcdEndpoints, ReportsNotRunWhenNobodyListens)
{
  const Endpoint closed = ClosedEndpoint(mRuntime);
  EtcdStore store(mRuntime, { .mEndpoints = { closed, closed } });
  mRuntime.RunAndWait([&] {
    const absl::Status status = store.Commit({}).status();
    EXPECT_TRUE(absl::IsUnavailable(status)) << status;
    EXPECT_EQ(VerdictOf(status), Verdict::NotRun);
  });
}

TEST_F(EtcdEndpoints, CountsCallsByKind)
{
  FixedServer server(mRuntime, 200, kApplied);
  EtcdStore store(mRuntime, { .mEndpoints = { server.At() } });
  CountingStore counting(store);
  mRuntime.RunAndWait([&] {
    counting.Commit({}).IgnoreError();
    counting.Read("/a").IgnoreError();
    counting.Read("/a").IgnoreError();
  });
  EXPECT_EQ(counting.Counts().Count(StoreCall::Commit), 1U);
  EXPECT_EQ(counting.Counts().Count(StoreCall::Read), 2U);
  EXPECT_EQ(counting.Counts().Total(), 3U);
}

struct LineCase
{
  const char* mName;
  const char* mLine;
  absl::StatusCode mCode;
  std::size_t mEvents = 0;
};

class WatchLine : public testing::TestWithParam<LineCase>
{};

TEST_P(WatchLine, IsDecoded)
{
  const auto events = etcd::DecodeWatchLine(GetParam().mLine);
  EXPECT_EQ(events.status().code(), GetParam().mCode) << events.status();
  EXPECT_EQ(events.ok() ? events->size() : 0, GetParam().mEvents);
}

INSTANTIATE_TEST_SUITE_P(
  Lines,
  WatchLine,
  testing::Values(
    LineCase{ "Created",
              R"({"result":{"header":{},"created":true}})",
              absl::StatusCode::kOk },
    LineCase{ "PutAndDelete",
              R"({"result":{"events":[{"kv":{"key":"YQ==","mod_revision":"2"}},
        {"type":"DELETE","kv":{"key":"YQ==","mod_revision":"3"}}]}})",
              absl::StatusCode::kOk,
              2 },
    LineCase{ "Compacted",
              R"({"result":{"canceled":true,"compact_revision":"9"}})",
              absl::StatusCode::kOutOfRange },
    LineCase{ "Canceled",
              R"({"result":{"canceled":true}})",
              absl::StatusCode::kUnavailable },
    LineCase{ "Error",
              R"({"error":{"code":14}})",
              absl::StatusCode::kUnavailable },
    LineCase{ "Garbage", "}{", absl::StatusCode::kInternal },
    LineCase{ "UnknownType",
              R"({"result":{"events":[{"type":"MOVE","kv":{"key":"YQ=="}}]}})",
              absl::StatusCode::kInternal },
    LineCase{ "NoKey",
              R"({"result":{"events":[{"kv":{}}]}})",
              absl::StatusCode::kInternal }),
  [](const auto& aInfo) { return aInfo.param.mName; });

} // namespace
} // namespace foxtailbarrow
