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
  std::int32_t mMaxWaiting = 16; ///< Queued requests.
};

/// Load of a gate at one moment.
struct SlotLoad
{
  std::int32_t mSlots = 0;
  std::int32_t mInUse = 0;
  std::int32_t mWaiting = 0;
};

/// The request holds a slot; Release() returns it.
struct SlotGranted
{};

/// The request is queued. It must be withdrawn at `mGiveUpAt`, because later it
/// could not be answered before its deadline.
struct SlotQueued
{
  std::uint64_t mTicket = 0;
  Instant mGiveUpAt{};
};

/// The request did not run. A slot is expected after `mRetryAfter`.
struct SlotRefused
{
  Reason mReason = Reason::BackendServersBusy;
  Duration mRetryAfter{};
};

using SlotAdmission = std::variant<SlotGranted, SlotQueued, SlotRefused>;

/// Limits the concurrent requests to the backend server: each request gets a
/// slot, is queued for one, or is refused.
///
/// At most `mSlots` slots are held and `mMaxWaiting` requests queued; queued
/// requests get slots in order of arrival. A request that is not expected to be
/// answered before its deadline, by the recent mean time that slots were held,
/// is refused at once.
/// Taking and returning a slot is lock-free unless requests are queued.
/// Thread-safe.
class SlotGate
{
public:
  /// Called once when a queued request gets a slot, by the thread that returned
  /// the slot.
  using OnSlot = std::function<void()>;

  explicit SlotGate(SlotGateLimits aLimits);

  /// Takes a free slot if no request is queued. If it returns false, use
  /// Wait().
  bool TryTake();

  /// Grants a slot, queues or refuses. `aOnSlot` is kept only when queued.
  SlotAdmission Wait(Instant aNow, Instant aDeadline, OnSlot aOnSlot);

  /// Removes a queued request. Returns false when it was granted a slot in the
  /// meantime; it then holds the slot.
  bool Withdraw(std::uint64_t aTicket);

  /// Returns a slot that was held for `aHeld`, and grants it to the request
  /// that was queued first, if any.
  void Release(Duration aHeld);

  /// Refuses all new requests. Queued requests keep their place.
  void Drain();

  bool Draining() const;
  SlotLoad Load() const;

  /// Running mean of the time that slots were held; zero before the first.
  Duration MeanHeld() const;

  /// Expected waiting time of a new request.
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
  std::mutex mMutex; ///< Guards mQueue and all changes of its length.
  std::deque<Waiter> mQueue;
  std::uint64_t mNextTicket = 1;
};

} // namespace foxtailbarrow
