#include "apps/agent/BackendProbe.h"

#include <algorithm>
#include <utility>

#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

constexpr unsigned kFirstServerError = 500;
constexpr Duration kMinTimeout = std::chrono::seconds(1);

} // namespace

BackendProbe::BackendProbe(const AgentSettings& aSettings,
                           net::FiberRuntime& aRuntime,
                           net::HttpClient& aClient,
                           OnChange aOnChange)
  : mSettings(aSettings)
  , mClient(aClient)
  , mOnChange(std::move(aOnChange))
  , mFibers(aRuntime)
{
}

void BackendProbe::Start()
{
  mFibers.Repeat(mWaker, mSettings.mBackendProbe, [this] { Probe(); });
}

void BackendProbe::Probe()
{
  net::HttpRequest request;
  request.mTarget = "/healthz";
  const auto response =
    mClient.Call(mSettings.mBackend,
                 request,
                 std::max(kMinTimeout, mSettings.mBackendProbe));
  const bool answers = response.ok();
  const bool isHealthy = answers && response->mStatus < kFirstServerError;
  mFailures = isHealthy ? 0 : mFailures + 1;
  const bool isUp =
    isHealthy || (mIsUp && !answers && mFailures < kMaxFailures);
  if (mIsUp.exchange(isUp) != isUp) {
    LogChange(isUp ? "backend-server-up" : "backend-server-leaving",
              { { "backend", mSettings.mBackend } });
    mOnChange(isUp);
  }
}

} // namespace foxtailbarrow
