#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "soak/LinkProxy.h"
#include "src/net/HttpClient.h"
#include "tests/net/PrivateEndpoint.h"

namespace foxtailbarrow::soak::test {

namespace {

using std::chrono::milliseconds;

constexpr int kConnections = 6;
constexpr Duration kTimeout = milliseconds(300);

/// Open connections go silent without a reset while new ones work. A client
/// that tried its idle connections one after the other would lose one call
/// timeout per connection.
TEST(SilentConnectionTest, CostsOneTimeoutHoweverManyConnectionsAreIdle)
{
  net::FiberRuntime runtime(1);
  net::HttpClient client(runtime);
  auto server =
    net::HttpServer::Start(runtime, { "127.0.0.1", 0 }, [](net::HttpRequest&) {
      boost::this_fiber::sleep_for(milliseconds(50));
      return net::HttpResponse();
    });
  ASSERT_TRUE(server.ok());
  const Endpoint link = net::PrivateEndpoint(runtime);
  auto proxy = LinkProxy::Start(link, (*server)->ListeningEndpoint());
  ASSERT_TRUE(proxy.ok());
  runtime.RunAndWait([&] {
    int answered = 0;
    for (int i = 0; i < kConnections; ++i) {
      runtime.Spawn([&] {
        answered += client.Call(link, {}, std::chrono::seconds(5)).ok() ? 1 : 0;
      });
    }
    const Instant end = MonotonicNow() + std::chrono::seconds(10);
    while (answered < kConnections && MonotonicNow() < end) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    ASSERT_EQ(answered, kConnections);
    (*proxy)->Set(LinkState::OpenSilent);
    const auto first = client.Call(link, {}, kTimeout);
    EXPECT_TRUE(absl::IsDeadlineExceeded(first.status())) << first.status();
    EXPECT_EQ(VerdictOf(first.status()), Verdict::MayHaveRun);
    const auto second = client.Call(link, {}, kTimeout);
    EXPECT_TRUE(second.ok()) << second.status();
  });
}

} // namespace

} // namespace foxtailbarrow::soak::test
