#include <memory>
#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "src/net/HttpServer.h"
#include "standins/taskworker/TaskWorkerService.h"
#include "tests/net/PrivateEndpoint.h"

namespace foxtailbarrow::standin::test {

namespace {

using std::chrono::milliseconds;

/// A fault's own end and the end of all faults restarted a worker at the same
/// time while its address was in use. The second incarnation replaced the first
/// without ending its runs, which then counted as running for good.
TEST(RestartedWorkerServiceTest, RestartsOnceForTwoFibers)
{
  net::FiberRuntime runtime(1);
  const Endpoint address = net::PrivateEndpoint(runtime);
  auto started =
    TaskWorkerService::Start(runtime,
                             { address, address, "worker", "service", "rack" },
                             {},
                             1,
                             [](const std::string&, const RunEvent&) {});
  ASSERT_TRUE(started.ok());
  TaskWorkerService& worker = **started;
  runtime.RunAndWait([&] {
    worker.Crash();
    worker.Restart(RestartId::New);
    worker.Crash(); // Even-numbered incarnations close their server.
    ASSERT_EQ(worker.Incarnation(), "worker-2");
    auto other = net::HttpServer::Start(
      runtime, address, [](net::HttpRequest&) { return net::HttpResponse(); });
    ASSERT_TRUE(other.ok());
    for (int fiber = 0; fiber < 2; ++fiber) {
      runtime.Spawn([&worker] { worker.Restart(RestartId::New); });
    }
    boost::this_fiber::sleep_for(milliseconds(20));
    EXPECT_FALSE(worker.Up());
    other->reset();
    const Instant end = MonotonicNow() + std::chrono::seconds(5);
    while (!worker.Up() && MonotonicNow() < end) {
      boost::this_fiber::sleep_for(milliseconds(10));
    }
    boost::this_fiber::sleep_for(milliseconds(500));
    EXPECT_TRUE(worker.Up());
    EXPECT_EQ(worker.Incarnation(), "worker-3");
  });
  // Not destroyed: its fibers run as long as their runtime.
  static_cast<void>(started->release());
}

} // namespace

} // namespace foxtailbarrow::standin::test
