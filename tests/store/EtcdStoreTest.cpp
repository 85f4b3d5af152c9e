#include <atomic>
#include <string>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpServer.h"
#include "src/platform/store/CountingStore.h"
#include "src/platform/store/EtcdCodec.h"
#include "src/platform/store/EtcdStore.h"
#include "tests/store/NamedCase.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

using Code = absl::StatusCode;

constexpr char kApplied[] =
  R"({"header":{"revision":"7"},"succeeded":true,"kvs":[]})";

/// Answers every request with the same response and counts requests.
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

/// A port without a listener.
Endpoint ClosedEndpoint(net::FiberRuntime& aRuntime)
{
  return FixedServer(aRuntime, 200, "").At();
}

struct ReplyCase
{
  const char* mName;
  unsigned mStatus;
  const char* mBody;
  Code mCode;
  Verdict mOfWrite;
  bool mNextTried = false; ///< Whether a read tries the next endpoint.
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

constexpr char kRateLimited[] = R"({"error":"etcdserver: busy","code":8})";
constexpr char kNoLeader[] = R"({"error":"etcdserver: no leader","code":14})";
constexpr char kTimedOut[] = R"({"error":"etcdserver: timed out","code":14})";
constexpr char kDuplicate[] = R"({"error":"duplicate key","code":3})";
constexpr char kWrongTypes[] = R"({"header":[],"succeeded":"yes","kvs":7})";
constexpr Verdict kNotRun = Verdict::NotRun;
constexpr Verdict kMayHaveRun = Verdict::MayHaveRun;

INSTANTIATE_TEST_SUITE_P(
  Replies,
  EtcdReply,
  testing::Values(
    ReplyCase{ "Ceiling",
               503,
               kRateLimited,
               Code::kResourceExhausted,
               kNotRun },
    ReplyCase{ "TooMany", 429, "", Code::kResourceExhausted, kNotRun },
    ReplyCase{ "NoLeader", 503, kNoLeader, Code::kUnavailable, kNotRun, true },
    ReplyCase{ "InDoubt",
               503,
               kTimedOut,
               Code::kUnavailable,
               kMayHaveRun,
               true },
    ReplyCase{ "Proxy", 503, "<html>", Code::kUnavailable, kMayHaveRun, true },
    ReplyCase{ "Late", 504, "", Code::kDeadlineExceeded, kMayHaveRun, true },
    ReplyCase{ "Bad", 400, kDuplicate, Code::kInvalidArgument, kNotRun },
    ReplyCase{ "Failed", 500, "", Code::kInternal, kMayHaveRun },
    ReplyCase{ "NotJson", 200, "hello", Code::kInternal, kMayHaveRun },
    ReplyCase{ "Types", 200, kWrongTypes, Code::kInternal, kMayHaveRun }),
  kNameOfCase);

class EtcdEndpoints : public testing::Test
{
protected:
  net::FiberRuntime mRuntime{ 1 };
};

TEST_F(EtcdEndpoints, SwitchesPermanentlyFromAClosedEndpoint)
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

TEST_F(EtcdEndpoints, ReportsNotRunWhenAllEndpointsAreClosed)
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
  Code mCode;
  std::size_t mEvents;
};

class WatchLine : public testing::TestWithParam<LineCase>
{};

TEST_P(WatchLine, IsDecoded)
{
  const auto events = etcd::DecodeWatchLine(GetParam().mLine);
  EXPECT_EQ(events.status().code(), GetParam().mCode) << events.status();
  EXPECT_EQ(events.ok() ? events->size() : 0, GetParam().mEvents);
}

constexpr char kTwoEvents[] =
  R"({"result":{"events":[{"kv":{"key":"YQ==","mod_revision":"2"}},
     {"type":"DELETE","kv":{"key":"YQ==","mod_revision":"3"}}]}})";
constexpr char kCompacted[] =
  R"({"result":{"canceled":true,"compact_revision":"9"}})";
constexpr char kMove[] =
  R"({"result":{"events":[{"type":"MOVE","kv":{"key":"YQ=="}}]}})";
constexpr char kNoKey[] = R"({"result":{"events":[{"kv":{}}]}})";

INSTANTIATE_TEST_SUITE_P(
  Lines,
  WatchLine,
  testing::Values(
    LineCase{ "Created", R"({"result":{"created":true}})", Code::kOk, 0 },
    LineCase{ "TwoEvents", kTwoEvents, Code::kOk, 2 },
    LineCase{ "Compacted", kCompacted, Code::kOutOfRange, 0 },
    LineCase{ "Canceled",
              R"({"result":{"canceled":true}})",
              Code::kUnavailable,
              0 },
    LineCase{ "Error", R"({"error":{"code":14}})", Code::kUnavailable, 0 },
    LineCase{ "Garbage", "}{", Code::kInternal, 0 },
    LineCase{ "Move", kMove, Code::kInternal, 0 },
    LineCase{ "NoKey", kNoKey, Code::kInternal, 0 }),
  kNameOfCase);

} // namespace
} // namespace foxtailbarrow
