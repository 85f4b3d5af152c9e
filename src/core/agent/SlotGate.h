#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <variant>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct SlotGateLimits
{
  std::int32_t mSlots = 8;       ///< Requests that run at a time, >= 1.
  std::int32_t mMaxWaiting = 16; ///< Admitted requests without a slot.
};

/// Load of a gate at one moment.
struct SlotLoad
{
  std::int32_t mSlots = 0;
  std::int32_t mInUse = 0;
  std::int32_t mWaiting = 0;
};

/// The request holds a slot; Release() gives it back.
struct SlotGranted
{};

/// The request waits. It must be withdrawn at `mGiveUpAt`: later it could no
/// longer be answered before its deadline.
struct SlotQueued
{
  std::uint64_t mTicket = 0;
  Instant mGiveUpAt{};
};

/// The request did not run. `mRetryAfter` is when a slot is expected.
struct SlotRefused
{
  Reason mReason = Reason::BackendServersBusy;
  Duration mRetryAfter{};
};

using SlotAdmission = std::variant<SlotGranted, SlotQueued, SlotRefused>;

/// Decides which request may use one of the backend server's slots, which may
/// wait for one and which is refused.
///
/// Inputs: requests with their deadlines, and how long each slot was held.
/// Promises: never more than `mSlots` slots held or `mMaxWaiting` waiting;
/// waiting requests get slots in their order of arrival; a request that cannot
/// be answered in its remaining time, by the mean time that slots were held of
/// late, is refused at once. Taking and returning a slot is lock-free unless
/// requests wait. Safe for use by any number of threads.
class SlotGate
{
public:
  /// Called once, by the thread that returned the slot.
  using OnSlot = std::function<void()>;

  explicit SlotGate(SlotGateLimits aLimits);

  /// Takes a free slot when nobody waits. False: use Wait().
  bool TryTake();

  /// Grants, queues or refuses. `aOnSlot` is kept only when queued.
  SlotAdmission Wait(Instant aNow, Instant aDeadline, OnSlot aOnSlot);

  /// Takes a waiting request back. False when the slot was given meanwhile:
  /// the request holds it then.
  bool Withdraw(std::uint64_t aTicket);

  /// Returns a slot that was held for `aHeld`, to the longest waiting request
  /// if there is one.
  void Release(Duration aHeld);

  /// Refuses every new request from now on. Admitted ones keep their place.
  void Drain();

  bool Draining() const;
  SlotLoad Load() const;

  /// Mean time that slots were held of late; zero before the first.
  Duration MeanHeld() const;

  /// When a request that comes then may expect a slot.
  Duration ExpectedWait() const;

private:
  struct Waiter
  {
    std::uint64_t mTicket = 0;
    OnSlot mOnSlot;
  };

  Duration ExpectedWait(std::int32_t aWaiting) const;
  SlotRefused Refuse(Reason aReason, std::int32_t aWaiting) const;
  bool GrantToFirstWaiter();

  const SlotGateLimits mLimits;
  std::atomic<std::uint64_t> mState{ 0 }; ///< See Packed in SlotGate.cpp.
  std::atomic<std::int64_t> mMeanHeldMicros{ 0 };
  std::mutex mMutex; ///< Guards the queue and every change of its length.
  std::deque<Waiter> mQueue;
  std::uint64_t mNextTicket = 1;
};

} // namespace foxtailbarrow
