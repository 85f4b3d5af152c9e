#pragma once

#include <deque>
#include <functional>
#include <random>

#include "bench/routing/EventQueue.h"
#include "bench/routing/Scenario.h"
#include "src/core/routing/LoadSnapshot.h"

namespace foxtailbarrow::bench {

/// Result of a request at a backend server.
enum class ServerAnswer
{
  Done,
  Failed,   ///< Ran, with status 500.
  Refused,  ///< Not run: the queue is full or the deadline too near.
  NoAnswer, ///< The server is lost.
};

/// Simulates the queueing at one backend server and its agent: slots, a bounded
/// queue and the deadline check.
class ServerModel
{
public:
  using OnAnswer = std::function<void(ServerAnswer, LoadSnapshot)>;

  ServerModel(EventQueue& aEvents, double aSigma, unsigned aSeed)
    : mEvents(aEvents)
    , mSigma(aSigma)
    , mRandom(aSeed)
  {
  }

  void Slow(double aFactor) { mSlowFactor = aFactor; }
  void Fail() { mFails = true; }
  bool IsLost() const { return mIsLost; }

  void MarkLost()
  {
    mIsLost = true;
    mWaiting.clear();
  }

  void OnRequest(Instant aDeadline, OnAnswer aOnAnswer)
  {
    if (mIsLost) {
      return;
    }
    if (mFails) {
      aOnAnswer(ServerAnswer::Failed, Load());
      return;
    }
    const Duration wait =
      kMeanService * static_cast<std::int64_t>(mWaiting.size()) / kSlots;
    if (mInUse == kSlots &&
        (mWaiting.size() >= kMaxWaiting || mEvents.Now() + wait > aDeadline)) {
      aOnAnswer(ServerAnswer::Refused, Load());
      return;
    }
    mWaiting.push_back(std::move(aOnAnswer));
    StartNext();
  }

  LoadSnapshot Load() const
  {
    return { mInUse, kSlots, static_cast<std::int32_t>(mWaiting.size()) };
  }

private:
  void StartNext()
  {
    if (mInUse == kSlots || mWaiting.empty()) {
      return;
    }
    ++mInUse;
    OnAnswer answer = std::move(mWaiting.front());
    mWaiting.pop_front();
    mEvents.After(ServiceTime(), [this, answer = std::move(answer)] {
      --mInUse;
      if (!mIsLost) {
        answer(ServerAnswer::Done, Load());
        StartNext();
      }
    });
  }

  Duration ServiceTime()
  {
    std::lognormal_distribution<double> draw(-mSigma * mSigma / 2, mSigma);
    const double micros =
      static_cast<double>(kMeanService.count()) * draw(mRandom) * mSlowFactor;
    return Duration(static_cast<std::int64_t>(micros));
  }

  EventQueue& mEvents;
  double mSigma;
  std::mt19937_64 mRandom;
  std::deque<OnAnswer> mWaiting;
  int mInUse = 0;
  double mSlowFactor = 1.0;
  bool mFails = false;
  bool mIsLost = false;
};

} // namespace foxtailbarrow::bench
