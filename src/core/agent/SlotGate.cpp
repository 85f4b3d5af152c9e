#include "src/core/agent/SlotGate.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr std::uint64_t kDrainingBit = 1ULL << 63;
constexpr std::uint64_t kOneInUse = 1;
constexpr std::uint64_t kOneWaiting = 1ULL << 32;

/// Each sample moves the mean by its difference divided by this.
constexpr std::int64_t kMeanDivisor = 16;

/// Minimum retry time for callers, even when a slot is expected sooner.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);

/// The gate's state in one word, so that a single compare-and-swap updates it.
struct Packed
{
  std::uint64_t mWord = 0;

  std::int32_t InUse() const
  {
    return static_cast<std::int32_t>(mWord & 0x7fffffffULL);
  }
  std::int32_t Waiting() const
  {
    return static_cast<std::int32_t>((mWord & ~kDrainingBit) >> 32);
  }
  bool Draining() const { return (mWord & kDrainingBit) != 0; }
};

} // namespace

SlotGate::SlotGate(SlotGateLimits aLimits)
  : mLimits(aLimits)
{
}

bool SlotGate::TryTake()
{
  std::uint64_t word = mState.load(std::memory_order_relaxed);
  for (;;) {
    const Packed state{ word };
    if (state.Draining() || state.Waiting() > 0 ||
        state.InUse() >= mLimits.mSlots) {
      return false;
    }
    if (mState.compare_exchange_weak(
          word, word + kOneInUse, std::memory_order_acquire)) {
      return true;
    }
  }
}

SlotAdmission SlotGate::Wait(Instant aNow, Instant aDeadline, OnSlot aOnSlot)
{
  const std::lock_guard lock(mMutex);
  std::uint64_t word = mState.load();
  for (;;) {
    const Packed state{ word };
    if (state.Draining()) {
      return Refuse(Reason::Draining, state.Waiting());
    }
    if (state.Waiting() == 0 && state.InUse() < mLimits.mSlots) {
      if (mState.compare_exchange_weak(word, word + kOneInUse)) {
        return SlotGranted{};
      }
      continue;
    }
    if (state.Waiting() >= mLimits.mMaxWaiting) {
      return Refuse(Reason::BackendServersBusy, state.Waiting());
    }
    const Instant giveUpAt = aDeadline - MeanHeld();
    if (aNow + ExpectedWait(state.Waiting()) >= giveUpAt) {
      return Refuse(Reason::DeadlineTooShort, state.Waiting());
    }
    if (mState.compare_exchange_weak(word, word + kOneWaiting)) {
      mQueue.push_back({ mNextTicket, std::move(aOnSlot) });
      return SlotQueued{ mNextTicket++, giveUpAt };
    }
  }
}

bool SlotGate::Withdraw(std::uint64_t aTicket)
{
  const std::lock_guard lock(mMutex);
  const auto waiter = std::find_if(
    mQueue.begin(), mQueue.end(), [aTicket](const Waiter& aWaiter) {
      return aWaiter.mTicket == aTicket;
    });
  if (waiter == mQueue.end()) {
    return false;
  }
  mQueue.erase(waiter);
  mState.fetch_sub(kOneWaiting);
  return true;
}

void SlotGate::Release(Duration aHeld)
{
  const std::int64_t mean = mMeanHeldMicros.load(std::memory_order_relaxed);
  const std::int64_t held = std::max<std::int64_t>(1, aHeld.count());
  // A lost update between threads only loses one sample of the mean.
  mMeanHeldMicros.store(mean == 0 ? held : mean + (held - mean) / kMeanDivisor,
                        std::memory_order_relaxed);
  std::uint64_t word = mState.load();
  for (;;) {
    if (Packed{ word }.Waiting() > 0) {
      if (GrantToFirstWaiter()) {
        return;
      }
      word = mState.load();
      continue;
    }
    if (mState.compare_exchange_weak(
          word, word - kOneInUse, std::memory_order_acq_rel)) {
      return;
    }
  }
}

bool SlotGate::GrantToFirstWaiter()
{
  OnSlot onSlot;
  {
    const std::lock_guard lock(mMutex);
    if (mQueue.empty()) {
      return false;
    }
    onSlot = std::move(mQueue.front().mOnSlot);
    mQueue.pop_front();
    mState.fetch_sub(kOneWaiting);
  }
  onSlot();
  return true;
}

void SlotGate::Drain()
{
  mState.fetch_or(kDrainingBit);
}

bool SlotGate::Draining() const
{
  return Packed{ mState.load() }.Draining();
}

SlotLoad SlotGate::Load() const
{
  const Packed state{ mState.load(std::memory_order_relaxed) };
  return { mLimits.mSlots, state.InUse(), state.Waiting() };
}

Duration SlotGate::MeanHeld() const
{
  return Duration(mMeanHeldMicros.load(std::memory_order_relaxed));
}

Duration SlotGate::ExpectedWait() const
{
  const SlotLoad load = Load();
  return load.mInUse < load.mSlots ? Duration{} : ExpectedWait(load.mWaiting);
}

Duration SlotGate::ExpectedWait(std::int32_t aWaiting) const
{
  return MeanHeld() * (aWaiting + 1) / mLimits.mSlots;
}

SlotRefused SlotGate::Refuse(Reason aReason, std::int32_t aWaiting) const
{
  return { aReason, std::max(kMinRetryAfter, ExpectedWait(aWaiting)) };
}

} // namespace foxtailbarrow
