#include <atomic>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"
#include "src/net/Waker.h"

namespace foxtailbarrow::net::test {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTimeout = milliseconds(200);
constexpr Duration kLong = std::chrono::seconds(20);

/// A timed wait must end at its deadline even if the fiber's previous timed
/// wait was ended by a notification, which Boost.Fiber 1.74 handles incorrectly
/// (see AwaitState::WaitUntil).
class TimedWaitTest : public testing::Test
{
protected:
  void RunAfterNotifiedWait(const std::function<void()>& aBody)
  {
    Waker waker;
    std::atomic<bool> done{ false };
    mRuntime.Spawn([&] {
      waker.Wait(kLong);
      aBody();
      done = true;
    });
    mRuntime.Spawn([&] {
      boost::this_fiber::sleep_for(milliseconds(20));
      waker.Wake();
    });
    const Instant end = MonotonicNow() + std::chrono::seconds(5);
    while (!done && MonotonicNow() < end) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    ASSERT_TRUE(done) << "the deadline did not wake the fiber";
  }

  FiberRuntime mRuntime{ 1 };
};

TEST_F(TimedWaitTest, ASleepEnds)
{
  RunAfterNotifiedWait([] { boost::this_fiber::sleep_for(kTimeout); });
}

TEST_F(TimedWaitTest, ACallToASilentPeerTimesOut)
{
  const auto server =
    HttpServer::Start(mRuntime, { "127.0.0.1", 0 }, [](HttpRequest&) {
      boost::this_fiber::sleep_for(kLong);
      return HttpResponse();
    });
  ASSERT_TRUE(server.ok());
  HttpClient client(mRuntime);
  RunAfterNotifiedWait([&] {
    const auto response =
      client.Call((*server)->ListeningEndpoint(), {}, kTimeout);
    EXPECT_FALSE(response.ok());
  });
}

} // namespace

} // namespace foxtailbarrow::net::test
