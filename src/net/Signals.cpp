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

} // namespace

void BlockSignals()
{
  // A write to a connection that the peer closed must be an error code.
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int WaitForSignal()
{
  const sigset_t signals = StopSignals();
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
  return received;
}

} // namespace foxtailbarrow::net
