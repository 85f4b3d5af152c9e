#include "src/net/FiberGroup.h"

#include <chrono>
#include <thread>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration kStopPollInterval = std::chrono::milliseconds(2);

} // namespace

FiberGroup::FiberGroup(net::FiberRuntime& aRuntime)
  : mRuntime(aRuntime)
{
}

void FiberGroup::Spawn(std::function<void()> aBody)
{
  ++mRunning;
  mRuntime.SpawnOn(0, [this, body = std::move(aBody)] {
    body();
    --mRunning;
  });
}

void FiberGroup::Repeat(Waker& aWaker, std::function<Duration()> aRound)
{
  mWakers.push_back(&aWaker);
  Spawn([this, &aWaker, round = std::move(aRound)] {
    while (!mStopping) {
      aWaker.Wait(round());
    }
  });
}

void FiberGroup::Repeat(Waker& aWaker,
                        Duration aPause,
                        std::function<void()> aRound)
{
  Repeat(aWaker, [aPause, round = std::move(aRound)] {
    round();
    return aPause;
  });
}

void FiberGroup::Stop()
{
  mStopping = true;
  while (mRunning > 0) {
    for (Waker* const waker : mWakers) {
      waker->Wake();
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

} // namespace foxtailbarrow
