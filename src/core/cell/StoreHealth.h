#pragma once

#include <algorithm>
#include <set>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Tells whether the store answers, from the calls under way. A write that is
/// sent into a silent store leaves its request in doubt; one that is not sent
/// can be refused as not run.
class StoreHealth
{
public:
  /// Calls unanswered for so long, with no other answer meanwhile, mean that
  /// the store is silent. Above the time that a slow store takes.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(450);

  void OnSent(Instant aNow) { mSent.insert(aNow); }

  /// Something was heard of the store besides the ends of calls: a watch's
  /// answer.
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

  /// Since the newest answer; a small read that only shows whether the store
  /// answers is not needed within a moment of one.
  Duration SinceAnswer(Instant aNow) const { return aNow - mAnsweredAt; }

  /// For how long the store has not answered; 0 while it does.
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
  Instant
    mSilentSince{}; ///< A call ended without an answer and none came since.
};

} // namespace foxtailbarrow::cell
