#pragma once

#include <atomic>
#include <functional>

#include "apps/agent/AgentSettings.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow {

/// Watches the backend server by GET /healthz. It is up while it answers with a
/// status below 500, and leaving as soon as it answers 503, or after
/// kFailures probes in a row without an answer.
class BackendProbe
{
public:
  using OnChange = std::function<void(bool aIsUp)>;

  BackendProbe(const AgentSettings& aSettings,
               net::FiberRuntime& aRuntime,
               net::HttpClient& aClient,
               OnChange aOnChange);

  /// Starts its fiber. The object must outlive the runtime's threads.
  void Start();

  bool IsUp() const { return mIsUp; }

private:
  static constexpr int kFailures = 2;

  void Loop();
  void Probe();

  const AgentSettings& mSettings;
  net::FiberRuntime& mRuntime;
  net::HttpClient& mClient;
  const OnChange mOnChange;
  std::atomic<bool> mIsUp{ false };
  int mFailures = 0;
};

} // namespace foxtailbarrow
