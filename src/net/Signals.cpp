#include <csignal>

#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::net {

namespace {

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

sigset_t StopAndReloadSignals()
{
  sigset_t signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  return signals;
}

int WaitFor(const sigset_t& aSignals)
{
  int received = 0;
  while (sigwait(&aSignals, &received) != 0) {
  }
  return received;
}

} // namespace

void BlockSignals()
{
  // Writing to a closed connection must fail with EPIPE instead of a signal.
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = StopAndReloadSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int WaitForSignal()
{
  return WaitFor(StopSignals());
}

int WaitForStop(const std::function<void()>& aOnReload)
{
  for (;;) {
    const int received = WaitFor(StopAndReloadSignals());
    if (received != SIGHUP) {
      return received;
    }
    aOnReload();
  }
}

} // namespace foxtailbarrow::net
