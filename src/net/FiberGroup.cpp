#include "src/net/FiberGroup.h"

#include <chrono>
#include <thread>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(2);

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

void FiberGroup::Repeat(Poke& aPoke, std::function<Duration()> aRound)
{
  mPokes.push_back(&aPoke);
  Spawn([this, &aPoke, round = std::move(aRound)] {
    while (!mStopping) {
      aPoke.Wait(round());
    }
  });
}

void FiberGroup::Repeat(Poke& aPoke,
                        Duration aPause,
                        std::function<void()> aRound)
{
  Repeat(aPoke, [aPause, round = std::move(aRound)] {
    round();
    return aPause;
  });
}

void FiberGroup::Stop()
{
  mStopping = true;
  while (mRunning > 0) {
    for (Poke* const poke : mPokes) {
      poke->Now();
    }
    std::this_thread::sleep_for(kPoll);
  }
}

} // namespace foxtailbarrow
