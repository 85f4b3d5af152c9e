#include <atomic>
#include <thread>
#include <vector>

#include <boost/fiber/operations.hpp>

#include "src/net/ConnectionRefused.h"
#include "tests/net/NetFixture.h"

namespace foxtailbarrow::net {
namespace {

class HttpClientTest : public NetTest
{};

TEST_F(HttpClientTest, CarriesMethodTargetHeadersAndBody)
{
  const Endpoint endpoint = StartServer([](HttpRequest& aRequest) {
    HttpResponse response = Echo(aRequest);
    response.mStatus = 418;
    for (const HttpHeader& header : aRequest.mHeaders.All()) {
      response.mHeaders.Append(header.mName, header.mValue);
    }
    return response;
  });
  for (const std::size_t size : { 0U, 1U, 4096U, 4097U, 1'000'000U }) {
    HttpRequest request{ "PUT", "/a?b=c", {}, std::string(size, 'x') };
    request.mHeaders.Append("Twice", "1");
    request.mHeaders.Append("Twice", "2");
    const auto response = Call(endpoint, request);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(418U, response->mStatus);
    EXPECT_EQ("PUT /a?b=c " + request.mBody, response->mBody);
    EXPECT_EQ(2U, response->mHeaders.All().size());
  }
}

TEST_F(HttpClientTest, ReusesConnections)
{
  const Endpoint endpoint = StartServer(Echo);
  mRuntime.RunAndWait([&] {
    for (int turn = 0; turn < 20; ++turn) {
      EXPECT_TRUE(mClient.Call(endpoint, HttpRequest(), kTestTimeout).ok());
    }
  });
  EXPECT_EQ(1U, mServer->Counters().mAccepted);
}

TEST_F(HttpClientTest, DetectsConnectionsThatTheServerClosed)
{
  HttpServerLimits limits;
  limits.mIdleTimeout = std::chrono::milliseconds(20);
  const Endpoint endpoint = StartServer(Echo, limits);
  mRuntime.RunAndWait([&] {
    for (int turn = 0; turn < 3; ++turn) {
      const auto response = mClient.Call(endpoint, HttpRequest(), kTestTimeout);
      EXPECT_TRUE(response.ok()) << response.status();
      while (mServer->Connections() > 0) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
    }
  });
  EXPECT_EQ(3U, mServer->Counters().mAccepted);
}

TEST_F(HttpClientTest, ClosesConnectionsIdleForTooLong)
{
  const Endpoint first = StartServer(Echo);
  const auto second = HttpServer::Start(mRuntime, { "127.0.0.1", 0 }, Echo);
  const Endpoint other = (*second)->ListeningEndpoint();
  HttpClientLimits limits;
  limits.mMaxIdleTime = std::chrono::milliseconds(10);
  HttpClient client(mRuntime, limits);
  mRuntime.RunAndWait([&] {
    EXPECT_TRUE(client.Call(first, HttpRequest(), kTestTimeout).ok());
    EXPECT_EQ(1U, mServer->Connections());
    const Instant end = MonotonicNow() + kTestTimeout;
    while (mServer->Connections() > 0 && MonotonicNow() < end) {
      EXPECT_TRUE(client.Call(other, HttpRequest(), kTestTimeout).ok());
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
  });
  EXPECT_EQ(0U, mServer->Connections());
}

/// Response of a misbehaving peer to a request.
const std::string kChunkedAnswer =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Repeated(const std::string& aText, int aTimes)
{
  std::string all;
  for (int i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

struct PeerCase
{
  const char* mName;
  std::string mAnswer; ///< Sent before the connection is closed.
  absl::StatusCode mCode = absl::StatusCode::kUnavailable;
};

void PrintTo(const PeerCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.mName;
}

class BrokenPeerTest
  : public NetTest
  , public testing::WithParamInterface<PeerCase>
{};

TEST_P(BrokenPeerTest, IsAnErrorThatMayHaveRun)
{
  const RawListener listener;
  std::thread peer([&listener] {
    const RawSocket socket(listener.Accept());
    socket.ReadUntil("\r\n\r\n");
    socket.Send(GetParam().mAnswer);
  });
  const auto response = Call(listener.LocalEndpoint(), HttpRequest());
  peer.join();
  ASSERT_FALSE(response.ok());
  EXPECT_EQ(GetParam().mCode, response.status().code());
  EXPECT_EQ(Verdict::MayHaveRun, VerdictOf(response.status()));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BrokenPeerTest,
  testing::Values(
    PeerCase{ "no answer", "" },
    PeerCase{ "half a status line", "HTTP/1.1 20" },
    PeerCase{ "half a header", "HTTP/1.1 200 OK\r\nContent-Le" },
    PeerCase{ "short body",
              "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort" },
    PeerCase{ "missing last chunk",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nshort\r\n" },
    PeerCase{ "half a chunk",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "50\r\nshort" },
    PeerCase{ "no length", "HTTP/1.1 200 OK\r\n\r\nwhole or short" },
    PeerCase{ "continue and no answer", "HTTP/1.1 100 Continue\r\n\r\n" },
    PeerCase{ "length above the limit",
              "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n",
              absl::StatusCode::kResourceExhausted },
    PeerCase{ "header above the limit",
              "HTTP/1.1 200 OK\r\nA: " + std::string(70'000, 'x'),
              absl::StatusCode::kResourceExhausted },
    PeerCase{ "endless trailers",
              kChunkedAnswer + "2\r\nab\r\n0\r\nA: " + std::string(70'000, 'x'),
              absl::StatusCode::kResourceExhausted },
    PeerCase{ "endless chunk extension",
              kChunkedAnswer + "2;a=" + std::string(70'000, 'x'),
              absl::StatusCode::kResourceExhausted },
    PeerCase{ "endless chunk size",
              kChunkedAnswer + std::string(70'000, '0'),
              absl::StatusCode::kResourceExhausted },
    PeerCase{ "endless interim responses",
              Repeated("HTTP/1.1 100 Continue\r\n\r\n", 1000),
              absl::StatusCode::kResourceExhausted },
    PeerCase{ "no HTTP", "hello\r\n\r\n" }));

TEST_F(HttpClientTest, SkipsInterimResponses)
{
  const RawListener listener;
  std::thread peer([&listener] {
    const RawSocket socket(listener.Accept());
    socket.ReadUntil("\r\n\r\n");
    socket.Send("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const auto response = Call(listener.LocalEndpoint(), HttpRequest());
  peer.join();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ("ok", response->mBody);
}

TEST_F(HttpClientTest, RefusedConnectIsNotRun)
{
  Endpoint endpoint;
  {
    const RawListener listener;
    endpoint = listener.LocalEndpoint();
  }
  const auto response = Call(endpoint, HttpRequest());
  EXPECT_EQ(absl::StatusCode::kUnavailable, response.status().code());
  EXPECT_EQ(Verdict::NotRun, VerdictOf(response.status()));
  EXPECT_TRUE(IsConnectionRefused(response.status()));
}

TEST_F(HttpClientTest, DeadlineAfterTheRequestMayHaveRun)
{
  const RawListener listener;
  const auto response = Call(
    listener.LocalEndpoint(), HttpRequest(), std::chrono::milliseconds(30));
  EXPECT_EQ(absl::StatusCode::kDeadlineExceeded, response.status().code());
  EXPECT_EQ(Verdict::MayHaveRun, VerdictOf(response.status()));
}

struct NotRunCase
{
  const char* mName;
  Endpoint mEndpoint;
  std::string mTarget;
  Duration mTimeout;
  absl::StatusCode mCode;
};

void PrintTo(const NotRunCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.mName;
}

class NotRunTest
  : public NetTest
  , public testing::WithParamInterface<NotRunCase>
{};

TEST_P(NotRunTest, FailsBeforeAByteIsSent)
{
  const RawListener listener;
  Endpoint endpoint = GetParam().mEndpoint;
  endpoint.mPort = listener.LocalEndpoint().mPort;
  HttpRequest request;
  request.mTarget = GetParam().mTarget;
  const auto response = Call(endpoint, request, GetParam().mTimeout);
  EXPECT_EQ(GetParam().mCode, response.status().code()) << response.status();
  EXPECT_EQ(Verdict::NotRun, VerdictOf(response.status()));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  NotRunTest,
  testing::Values(NotRunCase{ "no time left",
                              { "127.0.0.1", 0 },
                              "/",
                              Duration::zero(),
                              absl::StatusCode::kDeadlineExceeded },
                  NotRunCase{ "bad address",
                              { "localhost", 0 },
                              "/",
                              kTestTimeout,
                              absl::StatusCode::kInvalidArgument },
                  NotRunCase{ "line break in target",
                              { "127.0.0.1", 0 },
                              "/ HTTP/1.1\r\nA: b",
                              kTestTimeout,
                              absl::StatusCode::kInvalidArgument }));

TEST_F(HttpClientTest, CallOutsideTheRuntimeIsAnError)
{
  const auto response = mClient.Call({}, HttpRequest(), kTestTimeout);
  EXPECT_EQ(absl::StatusCode::kFailedPrecondition, response.status().code());
}

TEST_F(HttpClientTest, ConcurrentCallsGetTheirOwnResponses)
{
  const Endpoint endpoint = StartServer([](HttpRequest& aRequest) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    return Echo(aRequest);
  });
  std::atomic<int> correct{ 0 };
  std::atomic<int> done{ 0 };
  constexpr int kCalls = 500;
  for (int call = 0; call < kCalls; ++call) {
    mRuntime.Spawn([&, call] {
      HttpRequest request;
      request.mTarget = "/" + std::to_string(call);
      const auto response = mClient.Call(endpoint, request, kTestTimeout);
      correct +=
        response.ok() && response->mBody == "GET " + request.mTarget + " " ? 1
                                                                           : 0;
      ++done;
    });
  }
  EXPECT_TRUE(Eventually([&] { return done == kCalls; }));
  EXPECT_EQ(kCalls, correct);
}

TEST_F(HttpClientTest, StreamDeliversLinesUntilCallbackReturnsFalse)
{
  std::atomic<bool> writerClosed{ false };
  const Endpoint endpoint = StartServer(
    Echo, {}, [&writerClosed](HttpRequest&, HttpStreamWriter& aWriter) {
      int number = 0;
      while (aWriter.WriteLine("line " + std::to_string(number++))) {
        boost::this_fiber::yield();
      }
      writerClosed = true;
    });
  std::vector<std::string> lines;
  absl::Status status;
  mRuntime.RunAndWait([&] {
    status = mClient.Stream(
      endpoint, { "POST", "/watch", {}, "" }, kTestTimeout, [&](auto aLine) {
        lines.emplace_back(aLine);
        return lines.size() < 3;
      });
  });
  EXPECT_TRUE(status.ok()) << status;
  EXPECT_EQ((std::vector<std::string>{ "line 0", "line 1", "line 2" }), lines);
  EXPECT_TRUE(Eventually([&] { return writerClosed.load(); }));
}

TEST_F(HttpClientTest, StreamDeliversALineBeforeMoreDataArrives)
{
  std::atomic<bool> received{ false };
  const Endpoint endpoint =
    StartServer(Echo, {}, [&received](HttpRequest&, HttpStreamWriter& aWriter) {
      aWriter.WriteLine("only");
      const Instant end = MonotonicNow() + kTestTimeout;
      while (!received && MonotonicNow() < end) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
    });
  mRuntime.RunAndWait([&] {
    const auto status = mClient.Stream(
      endpoint,
      { "POST", "/watch", {}, "" },
      kTestTimeout / 2,
      [&received](std::string_view) { return !(received = true); });
    EXPECT_TRUE(status.ok()) << status;
  });
  EXPECT_TRUE(received);
}

struct StreamEndCase
{
  const char* mName;
  HttpServer::StreamHandler mStream;
  std::string mTarget;
  absl::StatusCode mCode;
};

void PrintTo(const StreamEndCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.mName;
}

class StreamEndTest
  : public NetTest
  , public testing::WithParamInterface<StreamEndCase>
{};

TEST_P(StreamEndTest, IsAnError)
{
  const Endpoint endpoint = StartServer(
    [](HttpRequest&) {
      return HttpResponse{ 404, {}, "none" };
    },
    {},
    GetParam().mStream);
  absl::Status status;
  mRuntime.RunAndWait([&] {
    status = mClient.Stream(endpoint,
                            { "POST", GetParam().mTarget, {}, "" },
                            std::chrono::milliseconds(100),
                            [](std::string_view) { return true; });
  });
  EXPECT_EQ(GetParam().mCode, status.code()) << status;
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  StreamEndTest,
  testing::Values(StreamEndCase{ "server ends it",
                                 [](HttpRequest&, HttpStreamWriter& aWriter) {
                                   aWriter.WriteLine("one");
                                 },
                                 "/watch",
                                 absl::StatusCode::kUnavailable },
                  StreamEndCase{ "handler throws",
                                 [](HttpRequest&, HttpStreamWriter& aWriter) {
                                   aWriter.WriteLine("one");
                                   throw 5;
                                 },
                                 "/watch",
                                 absl::StatusCode::kUnavailable },
                  StreamEndCase{ "silence",
                                 [](HttpRequest&, HttpStreamWriter& aWriter) {
                                   while (!aWriter.IsClosed()) {
                                     boost::this_fiber::sleep_for(
                                       std::chrono::milliseconds(1));
                                   }
                                 },
                                 "/watch",
                                 absl::StatusCode::kDeadlineExceeded },
                  StreamEndCase{ "other status",
                                 [](HttpRequest&, HttpStreamWriter&) {},
                                 "/other",
                                 absl::StatusCode::kUnavailable }));

} // namespace
} // namespace foxtailbarrow::net
