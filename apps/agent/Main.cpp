#include <chrono>
#include <iostream>
#include <thread>

#include "apps/agent/Agent.h"
#include "src/telemetry/Log.h"

using namespace foxtailbarrow;

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);

void WaitUntilDone(const Agent& aAgent, Duration aTimeout)
{
  const Instant end = MonotonicNow() + aTimeout;
  while (!aAgent.Done()) {
    if (MonotonicNow() >= end) {
      LogWarning("drain-timeout");
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace

int main(int argc, char** argv)
{
  AgentSettings settings;
  if (const auto exitCode = ParseAgentSettings(argc, argv, settings)) {
    return *exitCode;
  }
  net::BlockSignals();
  ConfigureLog(settings.mLogLevel);
  const Duration drainTimeout = settings.mDrainTimeout;
  net::FiberRuntime runtime(settings.mThreads);
  const auto agent = Agent::Start(std::move(settings), runtime);
  if (!agent.ok()) {
    std::cerr << "cannot start: " << agent.status() << "\n";
    return 1;
  }
  std::cout << "listening on " << ToString((*agent)->ListeningEndpoint())
            << std::endl;
  net::WaitForSignal();
  (*agent)->Drain();
  WaitUntilDone(**agent, drainTimeout);
  return 0;
}
