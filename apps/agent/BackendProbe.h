#pragma once

#include <atomic>
#include <functional>

#include "apps/agent/AgentSettings.h"
#include "src/net/FiberGroup.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"
#include "src/net/Waker.h"

namespace foxtailbarrow {

/// Probes the backend server by GET /healthz. The server is up while it answers
/// with a status below 500. It is leaving as soon as it answers 503 or another
/// server error, or after kMaxFailures consecutive probes without an answer.
class BackendProbe
{
public:
  using OnChange = std::function<void(bool aIsUp)>;

  BackendProbe(const AgentSettings& aSettings,
               net::FiberRuntime& aRuntime,
               net::HttpClient& aClient,
               OnChange aOnChange);

  void Start();

  /// Ends its fiber. Must not be called on a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  bool IsUp() const { return mIsUp; }

private:
  static constexpr int kMaxFailures = 2;

  void Probe();

  const AgentSettings& mSettings;
  net::HttpClient& mClient;
  const OnChange mOnChange;
  Waker mWaker;
  FiberGroup mFibers;
  std::atomic<bool> mIsUp{ false };
  int mFailures = 0;
};

} // namespace foxtailbarrow
