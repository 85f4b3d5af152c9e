#include <atomic>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

#include <boost/fiber/operations.hpp>

#include "tests/net/NetFixture.h"

namespace foxtailbarrow::net {
namespace {

constexpr std::size_t kMaxBody = 1000;
constexpr std::size_t kMaxHeader = 2000;

HttpServerLimits SmallLimits()
{
  HttpServerLimits limits;
  limits.mMaxBodyBytes = kMaxBody;
  limits.mMaxHeaderBytes = kMaxHeader;
  return limits;
}

struct RawCase
{
  const char* mName;
  std::string mBytes;
  std::string mStatus;
};

void PrintTo(const RawCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.mName;
}

class RawRequestTest
  : public NetTest
  , public testing::WithParamInterface<RawCase>
{};

TEST_P(RawRequestTest, IsAnsweredAndTheConnectionClosed)
{
  const Endpoint endpoint = StartServer(Echo, SmallLimits());
  const RawSocket socket(endpoint);
  socket.Send(GetParam().mBytes);
  const std::string answer = socket.ReadAll();
  EXPECT_EQ(GetParam().mStatus, answer.substr(0, 12)) << answer;
  EXPECT_NE(std::string::npos, answer.find("Connection: close")) << answer;
  const bool ran = GetParam().mStatus == "HTTP/1.1 200";
  EXPECT_EQ(ran, answer.find("not-run") == std::string::npos) << answer;
  EXPECT_TRUE(Call(endpoint, HttpRequest()).ok());
}

std::string Repeated(const std::string& aText, int aTimes)
{
  std::string all;
  for (int i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

const std::string kPost = "POST / HTTP/1.1\r\nHost: a\r\n";

INSTANTIATE_TEST_SUITE_P(
  Table,
  RawRequestTest,
  testing::Values(
    RawCase{ "no HTTP", "hello\r\n\r\n", "HTTP/1.1 400" },
    RawCase{ "binary", std::string("\0\1\2\3\r\n\r\n", 8), "HTTP/1.1 400" },
    RawCase{ "TLS hello", "\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400" },
    RawCase{ "no version", "GET /\r\n\r\n", "HTTP/1.1 400" },
    RawCase{ "bad version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400" },
    RawCase{ "no host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400" },
    RawCase{ "two hosts",
             "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
             "HTTP/1.1 400" },
    RawCase{ "space in name",
             "GET / HTTP/1.1\r\nHost: a\r\nA b: c\r\n\r\n",
             "HTTP/1.1 400" },
    RawCase{ "negative length",
             kPost + "Content-Length: -1\r\n\r\n",
             "HTTP/1.1 400" },
    RawCase{ "length no number",
             kPost + "Content-Length: ten\r\n\r\n",
             "HTTP/1.1 400" },
    RawCase{ "two lengths",
             kPost + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
             "HTTP/1.1 400" },
    RawCase{ "length and chunked",
             kPost + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
             "HTTP/1.1 400" },
    RawCase{ "chunked and length",
             kPost + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
             "HTTP/1.1 400" },
    RawCase{ "bad chunk",
             kPost + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
             "HTTP/1.1 400" },
    RawCase{ "length above the limit",
             kPost + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
             "HTTP/1.1 413" },
    RawCase{ "huge length",
             kPost + "Content-Length: 18446744073709551615\r\n\r\n",
             "HTTP/1.1 413" },
    RawCase{ "chunks above the limit",
             kPost + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
               std::string(1001, 'x') + "\r\n0\r\n\r\n",
             "HTTP/1.1 413" },
    RawCase{ "long trailers",
             kPost + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: " +
               std::string(3000, 'x') + "\r\n\r\n",
             "HTTP/1.1 431" },
    RawCase{ "endless trailers",
             kPost + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: " +
               std::string(3000, 'x'),
             "HTTP/1.1 431" },
    RawCase{
      "endless chunk extension",
      kPost + "Transfer-Encoding: chunked\r\n\r\n2;a=" + std::string(3000, 'x'),
      "HTTP/1.1 431" },
    RawCase{ "endless chunk size",
             kPost + "Transfer-Encoding: chunked\r\n\r\n" +
               std::string(3000, '0'),
             "HTTP/1.1 431" },
    RawCase{ "chunks of long extensions",
             kPost + "Transfer-Encoding: chunked\r\n\r\n" +
               Repeated("1;a=" + std::string(100, 'x') + "\r\na\r\n", 1000),
             "HTTP/1.1 431" },
    RawCase{ "chunks of one byte, and trailers",
             kPost + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
               Repeated("0001\r\na\r\n", 1000) + "0\r\nA: b\r\n\r\n",
             "HTTP/1.1 200" },
    RawCase{ "long header",
             "GET / HTTP/1.1\r\nHost: a\r\nA: " + std::string(3000, 'x') +
               "\r\n\r\n",
             "HTTP/1.1 431" },
    RawCase{ "long target",
             "GET /" + std::string(3000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n",
             "HTTP/1.1 431" },
    RawCase{ "asks to close",
             "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
             "HTTP/1.1 200" },
    RawCase{ "HTTP 1.0", "GET / HTTP/1.0\r\n\r\n", "HTTP/1.1 200" }));

class HttpServerTest : public NetTest
{};

TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
  const RawSocket socket(StartServer(Echo));
  std::string requests;
  for (int number = 0; number < 50; ++number) {
    requests += "POST /" + std::to_string(number) +
                " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
  }
  socket.Send(requests);
  const std::string answers = socket.ReadUntil(" abc", 50);
  std::size_t position = 0;
  for (int number = 0; number < 50; ++number) {
    position =
      answers.find("POST /" + std::to_string(number) + " abc", position);
    ASSERT_NE(std::string::npos, position) << number;
  }
}

TEST_F(HttpServerTest, ParsesARequestSentByteByByte)
{
  const RawSocket socket(StartServer(Echo));
  const std::string request =
    kPost +
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (const char byte : request) {
    socket.Send({ &byte, 1 });
  }
  EXPECT_NE(std::string::npos, socket.ReadUntil("abcde").find("abcde"));
}

TEST_F(HttpServerTest, SendsContinueOnRequest)
{
  const RawSocket socket(StartServer(Echo));
  socket.Send(kPost + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  EXPECT_EQ("HTTP/1.1 100 Continue\r\n\r\n", socket.ReadUntil("\r\n\r\n"));
  socket.Send("abc");
  EXPECT_NE(std::string::npos, socket.ReadUntil("abc").find("200 OK"));
}

TEST_F(HttpServerTest, AnswersHeadWithoutBody)
{
  const RawSocket socket(StartServer(Echo));
  socket.Send("HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::string answer = socket.ReadAll();
  EXPECT_NE(std::string::npos, answer.find("Content-Length: 8")) << answer;
  EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
}

TEST_F(HttpServerTest, AnswersSlowRequest408)
{
  HttpServerLimits limits;
  limits.mIdleTimeout = std::chrono::milliseconds(50);
  const RawSocket socket(StartServer(Echo, limits));
  socket.Send("GET / HTT");
  EXPECT_EQ("HTTP/1.1 408", socket.ReadAll().substr(0, 12));
}

TEST_F(HttpServerTest, ClosesIdleConnections)
{
  HttpServerLimits limits;
  limits.mIdleTimeout = std::chrono::milliseconds(50);
  const RawSocket socket(StartServer(Echo, limits));
  EXPECT_EQ("", socket.ReadAll());
  EXPECT_TRUE(Eventually([this] { return mServer->Connections() == 0; }));
}

TEST_F(HttpServerTest, AnswersExceptions500AndKeepsServing)
{
  const Endpoint endpoint = StartServer([](HttpRequest& aRequest) {
    if (aRequest.mTarget == "/int") {
      throw 5;
    }
    if (aRequest.mTarget == "/std") {
      throw std::runtime_error("handler failed");
    }
    return HttpResponse();
  });
  for (const char* target : { "/int", "/std" }) {
    HttpRequest request;
    request.mTarget = target;
    const auto response = Call(endpoint, request);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(500U, response->mStatus);
    EXPECT_EQ("may-have-run", response->mHeaders.Find(kVerdictHeader));
  }
  EXPECT_EQ(200U, Call(endpoint, HttpRequest())->mStatus);
  EXPECT_EQ(2U, mServer->Counters().mHandlerFailures);
}

TEST_F(HttpServerTest, ClosesWithoutAnswerOnRequestOfTheHandler)
{
  const Endpoint endpoint = StartServer([](HttpRequest&) {
    return HttpResponse{ kCloseWithoutAnswer, {}, "x" };
  });
  const RawSocket socket(endpoint);
  socket.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ("", socket.ReadAll());
  const auto response = Call(endpoint, HttpRequest());
  EXPECT_EQ(Verdict::MayHaveRun, VerdictOf(response.status()));
}

/// A handler that responds once it is released.
class HeldHandler
{
public:
  HttpServer::Handler Handler()
  {
    return [this](HttpRequest&) {
      while (!mReleased.load()) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
      return HttpResponse();
    };
  }
  void Release() { mReleased.store(true); }

private:
  std::atomic<bool> mReleased{ false };
};

const std::string kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// One connection a thread.
HttpServerLimits TwoConnections()
{
  HttpServerLimits limits;
  limits.mMaxConnections = 2;
  return limits;
}

TEST_F(HttpServerTest, RefusesConnectionsAboveTheLimit)
{
  HeldHandler held;
  const Endpoint endpoint = StartServer(held.Handler(), TwoConnections());
  const RawSocket first(endpoint);
  const RawSocket second(endpoint);
  first.Send(kGet);
  second.Send(kGet);
  ASSERT_TRUE(
    Eventually([this] { return mServer->Counters().mRequests == 2; }));
  const RawSocket third(endpoint);
  third.Send(kGet);
  const std::string answer = third.ReadAll();
  EXPECT_EQ("HTTP/1.1 503", answer.substr(0, 12)) << answer;
  EXPECT_NE(std::string::npos, answer.find("Retry-After: 1")) << answer;
  EXPECT_NE(std::string::npos, answer.find("not-run")) << answer;
  EXPECT_EQ(1U, mServer->Counters().mRefused);
  held.Release();
  EXPECT_EQ("HTTP/1.1 200", first.ReadUntil("\r\n\r\n").substr(0, 12));
  EXPECT_EQ("HTTP/1.1 200", second.ReadUntil("\r\n\r\n").substr(0, 12));
}

TEST_F(HttpServerTest, KeepsFewConnectionsThatItRefuses)
{
  HeldHandler held;
  const Endpoint endpoint = StartServer(held.Handler(), TwoConnections());
  const RawSocket first(endpoint);
  const RawSocket second(endpoint);
  first.Send(kGet);
  second.Send(kGet);
  ASSERT_TRUE(
    Eventually([this] { return mServer->Counters().mRequests == 2; }));
  std::vector<std::unique_ptr<RawSocket>> silent;
  for (int i = 0; i < 20; ++i) {
    silent.push_back(std::make_unique<RawSocket>(endpoint));
  }
  EXPECT_TRUE(
    Eventually([this] { return mServer->Counters().mRefused == 20; }));
  EXPECT_TRUE(Eventually([this] { return mServer->Connections() <= 4; }));
  held.Release();
  EXPECT_EQ("HTTP/1.1 200", first.ReadUntil("\r\n\r\n").substr(0, 12));
}

struct VictimCase
{
  const char* mName;
  std::string mSent;   ///< By the oldest connection.
  std::string mAnswer; ///< To it, when it is closed for a new one.
};

class VictimTest
  : public NetTest
  , public testing::WithParamInterface<VictimCase>
{};

TEST_P(VictimTest, IsClosedForANewConnection)
{
  const Endpoint endpoint = StartServer(Echo, TwoConnections());
  const RawSocket oldest(endpoint);
  oldest.Send(GetParam().mSent);
  const RawSocket otherThread(endpoint);
  const std::string whole = "HTTP/1.1 200";
  if (GetParam().mAnswer == whole) {
    oldest.ReadUntil("GET / ");
  } else if (!GetParam().mSent.empty()) {
    ASSERT_TRUE(
      Eventually([this] { return mServer->RequestsInProgress() == 1; }));
  }
  ASSERT_TRUE(Eventually([this] { return mServer->Connections() == 2; }));
  const RawSocket newer(endpoint);
  newer.Send(kGet);
  EXPECT_EQ(whole, newer.ReadUntil("GET / ").substr(0, 12));
  const std::string answer = oldest.ReadAll();
  if (GetParam().mAnswer != whole) {
    EXPECT_EQ(GetParam().mAnswer, answer.substr(0, 12));
  }
  EXPECT_EQ(1U, mServer->Counters().mEvictedForConnections);
  EXPECT_EQ(0U, mServer->Counters().mRefused);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  VictimTest,
  testing::Values(VictimCase{ "Silent", "", "" },
                  VictimCase{ "Idle", kGet, "HTTP/1.1 200" },
                  VictimCase{ "Incomplete", "GET / HT", "HTTP/1.1 503" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// Connections go to the two threads in turn, each with half of the memory.
constexpr std::size_t kMessageBytesOfThread = 64UL * 1024;
constexpr std::size_t kHalfOfThread = 30'000;

HttpServerLimits LittleMemory()
{
  HttpServerLimits limits;
  limits.mMaxMessageBytes = 2 * kMessageBytesOfThread;
  return limits;
}

std::string IncompletePost()
{
  return kPost + "Content-Length: " + std::to_string(kHalfOfThread) +
         "\r\n\r\n" + std::string(kHalfOfThread - 1, 'x');
}

TEST_F(HttpServerTest, EvictsTheOldestIncompleteRequestForMemory)
{
  const Endpoint endpoint = StartServer(Echo, LittleMemory());
  const RawSocket oldest(endpoint);
  const RawSocket otherThread(endpoint);
  oldest.Send(IncompletePost());
  ASSERT_TRUE(
    Eventually([this] { return mServer->RequestsInProgress() == 1; }));
  const RawSocket newer(endpoint);
  newer.Send(IncompletePost());
  const std::string answer = oldest.ReadAll();
  EXPECT_EQ("HTTP/1.1 503", answer.substr(0, 12)) << answer;
  EXPECT_NE(std::string::npos, answer.find("Retry-After: 1")) << answer;
  EXPECT_NE(std::string::npos, answer.find("not-run")) << answer;
  newer.Send("x");
  EXPECT_EQ("HTTP/1.1 200", newer.ReadUntil("x").substr(0, 12));
  EXPECT_EQ(1U, mServer->Counters().mEvictedForMemory);
}

TEST_F(HttpServerTest, EvictsNoRequestInProgressForMemory)
{
  HeldHandler held;
  const Endpoint endpoint = StartServer(held.Handler(), LittleMemory());
  const RawSocket busy(endpoint);
  const RawSocket otherThread(endpoint);
  busy.Send(IncompletePost() + "x");
  ASSERT_TRUE(
    Eventually([this] { return mServer->Counters().mRequests == 1; }));
  const RawSocket second(endpoint);
  second.Send(IncompletePost() + "x");
  EXPECT_EQ("HTTP/1.1 503", second.ReadAll().substr(0, 12));
  held.Release();
  EXPECT_EQ("HTTP/1.1 200", busy.ReadUntil("\r\n\r\n").substr(0, 12));
}

/// Larger than the kernel's buffers.
constexpr std::size_t kUnreadableResponse = 64UL * 1024 * 1024;

TEST_F(HttpServerTest, EvictsAResponseThatIsNotReadForMemory)
{
  const Endpoint endpoint = StartServer(
    [](HttpRequest& aRequest) {
      HttpResponse response;
      if (aRequest.mTarget == "/large") {
        response.mBody.assign(kUnreadableResponse, 'x');
      }
      return response;
    },
    LittleMemory());
  const RawSocket unread(endpoint);
  const RawSocket otherThread(endpoint);
  unread.Send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n" + kGet);
  ASSERT_TRUE(
    Eventually([this] { return mServer->Counters().mRequests == 1; }));
  EXPECT_TRUE(Eventually([this, &endpoint] {
    EXPECT_TRUE(Call(endpoint, HttpRequest()).ok());
    EXPECT_TRUE(Call(endpoint, HttpRequest()).ok());
    return mServer->Counters().mEvictedForMemory > 0 &&
           mServer->Connections() < 4;
  }));
  EXPECT_EQ(0, RawSocket::Count(unread.ReadAll(), "Content-Length: 0"))
    << "the request behind the response is not answered";
}

TEST_F(HttpServerTest, CountsHeadersAsMemory)
{
  const Endpoint endpoint = StartServer(Echo, LittleMemory());
  std::string manyHeaders = kPost;
  while (manyHeaders.size() < 8000) {
    manyHeaders += "A:\r\n";
  }
  const RawSocket socket(endpoint);
  socket.Send(manyHeaders + "Content-Length: 1\r\n\r\n");
  EXPECT_EQ("HTTP/1.1 503", socket.ReadAll().substr(0, 12));
}

TEST_F(HttpServerTest, LimitsABodyToHalfOfAThreadsMemory)
{
  const Endpoint endpoint = StartServer(Echo, LittleMemory());
  const RawSocket socket(endpoint);
  socket.Send(kPost + "Content-Length: 32769\r\n\r\n");
  EXPECT_EQ("HTTP/1.1 413", socket.ReadAll().substr(0, 12));
}

TEST_F(HttpServerTest, DropsHeadersWithLineBreaks)
{
  const RawSocket socket(StartServer([](HttpRequest&) {
    HttpResponse response;
    response.mHeaders.Set("A", "b\r\nInjected: c");
    response.mHeaders.Set("Content-Length", "7");
    return response;
  }));
  socket.Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::string answer = socket.ReadAll();
  EXPECT_EQ(std::string::npos, answer.find("Injected")) << answer;
  EXPECT_EQ(1, RawSocket::Count(answer, "Content-Length")) << answer;
}

TEST_F(HttpServerTest, DrainFinishesRequestsInProgress)
{
  std::atomic<bool> entered{ false };
  std::atomic<bool> release{ false };
  HttpServerLimits limits;
  limits.mDrainGrace = std::chrono::milliseconds(50);
  const Endpoint endpoint = StartServer(
    [&](HttpRequest& aRequest) {
      entered = true;
      while (!release) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
      return Echo(aRequest);
    },
    limits);
  const RawSocket busy(endpoint);
  const RawSocket idle(endpoint);
  busy.Send("GET /busy HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(Eventually([&] { return entered.load(); }));
  mServer->Drain();
  EXPECT_EQ("", idle.ReadAll());
  EXPECT_EQ(1U, mServer->RequestsInProgress());
  release = true;
  const std::string answer = busy.ReadAll();
  EXPECT_NE(std::string::npos, answer.find("GET /busy")) << answer;
  EXPECT_NE(std::string::npos, answer.find("Connection: close")) << answer;
  EXPECT_TRUE(Eventually([this] { return mServer->Connections() == 0; }));
  const auto late = Call(endpoint, HttpRequest());
  EXPECT_EQ(Verdict::NotRun, VerdictOf(late.status())) << late.status();
}

TEST_F(HttpServerTest, DrainAnswersRequestsSentAfterItBegan)
{
  HttpServerLimits limits;
  limits.mDrainGrace = kTestTimeout;
  const Endpoint endpoint = StartServer(Echo, limits);
  std::vector<std::unique_ptr<RawSocket>> sockets;
  for (int number = 0; number < 100; ++number) {
    sockets.push_back(std::make_unique<RawSocket>(endpoint));
  }
  mServer->Drain();
  for (const auto& socket : sockets) {
    socket->Send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  for (const auto& socket : sockets) {
    EXPECT_NE(std::string::npos, socket->ReadAll().find("GET /late"));
  }
}

TEST_F(HttpServerTest, SpreadsConnectionsOverThreads)
{
  const Endpoint endpoint = StartServer([](HttpRequest&) {
    HttpResponse response;
    response.mBody = std::to_string(::gettid());
    return response;
  });
  std::set<std::string> threads;
  for (int turn = 0; turn < 4; ++turn) {
    const RawSocket socket(endpoint);
    socket.Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::string answer = socket.ReadAll();
    threads.insert(answer.substr(answer.rfind('\n') + 1));
  }
  EXPECT_EQ(2U, threads.size());
}

TEST_F(HttpServerTest, ReportsAnAddressInUse)
{
  const Endpoint endpoint = StartServer(Echo);
  const auto second = HttpServer::Start(mRuntime, endpoint, Echo);
  EXPECT_EQ(absl::StatusCode::kUnavailable, second.status().code());
}

} // namespace
} // namespace foxtailbarrow::net
