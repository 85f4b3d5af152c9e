#include "tests/clients/OneRequest.h"

#include <unistd.h>

#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::clients {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);
constexpr Duration kGenerousTime = std::chrono::seconds(40);
constexpr unsigned kPauseUs = 200'000;

} // namespace

unsigned Ask(const Endpoint& aPeer, const OneRequest& aRequest)
{
  net::FiberRuntime runtime(1);
  net::HttpClient client(runtime);
  net::HttpRequest request;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aRequest.mTarget;
  request.mBody = aRequest.mBody;
  unsigned status = 0;
  runtime.RunAndWait([&] {
    if (const auto response = client.Call(aPeer, request, kTimeout);
        response.ok()) {
      status = response->mStatus;
    }
  });
  return status;
}

bool IsAnswered(const Endpoint& aPeer,
                const OneRequest& aRequest,
                unsigned aStatus)
{
  const Instant end = MonotonicNow() + kGenerousTime;
  while (MonotonicNow() < end) {
    if (Ask(aPeer, aRequest) == aStatus) {
      return true;
    }
    ::usleep(kPauseUs);
  }
  return false;
}

} // namespace foxtailbarrow::clients
