#pragma once

#include <algorithm>
#include <set>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Tracks whether the store answers, from the calls in progress. A write sent
/// to a silent store leaves its request in doubt; one that is not sent can be
/// refused as not run.
class StoreHealth
{
public:
  /// The store is silent when a call is unanswered for this long with no other
  /// answer meanwhile. Longer than a slow store takes.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(450);

  void OnSent(Instant aNow) { mSent.insert(aNow); }

  /// The store answered other than by ending a call: a watch response.
  void OnAnswer(Instant aNow)
  {
    mAnsweredAt = aNow;
    mSilentSince = {};
  }

  void OnEnded(Instant aSentAt, bool aAnswered, Instant aNow)
  {
    if (const auto found = mSent.find(aSentAt); found != mSent.end()) {
      mSent.erase(found);
    }
    if (aAnswered) {
      OnAnswer(aNow);
    } else if (mSilentSince == Instant{}) {
      mSilentSince = aSentAt;
    }
  }

  bool Answers(Instant aNow) const
  {
    if (mSilentSince != Instant{}) {
      return false;
    }
    return mSent.empty() ||
           aNow - std::max(*mSent.begin(), mAnsweredAt) < kSilentAfter;
  }

  /// Time since the newest answer. A read that only probes the store is not
  /// needed shortly after one.
  Duration SinceAnswer(Instant aNow) const { return aNow - mAnsweredAt; }

  /// How long the store has not answered; 0 while it does.
  Duration SilentFor(Instant aNow) const
  {
    if (Answers(aNow)) {
      return Duration::zero();
    }
    const Instant since = mSilentSince != Instant{}
                            ? mSilentSince
                            : std::max(*mSent.begin(), mAnsweredAt);
    return aNow - since;
  }

private:
  std::multiset<Instant> mSent;
  Instant mAnsweredAt{};
  /// When the call was sent that ended without an answer, if none came since.
  Instant mSilentSince{};
};

} // namespace foxtailbarrow::cell
