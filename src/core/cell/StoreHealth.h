#pragma once

#include <algorithm>
#include <cstdint>
#include <set>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// How a call to the store ended.
enum class StoreCallEnd : std::uint8_t
{
  Served,
  Refused, ///< Turned away: nothing was done.
  Unanswered,
};

/// Tracks whether the store answers, from the calls in progress, and for how
/// long it has served none. A write sent to a silent store leaves its request
/// in doubt; one that is not sent can be refused as not run.
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
    mOutageSince = {};
  }

  /// A serializable read was served. That shows that the store is reachable,
  /// not that it serves other calls, so it does not end a silence or an outage.
  void OnSerializableRead(Instant aSentAt, Instant aNow)
  {
    Erase(aSentAt);
    mHeardAt = aNow;
  }

  void OnEnded(Instant aSentAt, StoreCallEnd aEnd, Instant aNow)
  {
    Erase(aSentAt);
    if (aEnd == StoreCallEnd::Served) {
      OnAnswer(aNow);
      return;
    }
    if (mOutageSince == Instant{}) {
      mOutageSince = aSentAt;
    }
    if (aEnd == StoreCallEnd::Refused) {
      mAnsweredAt = aNow;
      mSilentSince = {};
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
  Duration SinceAnswer(Instant aNow) const
  {
    return aNow - std::max(mAnsweredAt, mHeardAt);
  }

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

  /// How long the store has served no call, whether it was silent or refused
  /// them; 0 while it serves. Callers that were told to come back after the
  /// shortest delay each time spent their retries within an outage in which the
  /// store refused all calls.
  Duration OutageAge(Instant aNow) const
  {
    const Duration silent = SilentFor(aNow);
    return mOutageSince == Instant{} ? silent
                                     : std::max(silent, aNow - mOutageSince);
  }

private:
  void Erase(Instant aSentAt)
  {
    if (const auto found = mSent.find(aSentAt); found != mSent.end()) {
      mSent.erase(found);
    }
  }

  std::multiset<Instant> mSent;
  Instant mAnsweredAt{};
  Instant mHeardAt{}; ///< Newest reply to a serializable read.
  /// When the call was sent that ended without an answer, if none came since.
  Instant mSilentSince{};
  /// When the first call was sent that was not served, if none was since.
  Instant mOutageSince{};
};

} // namespace foxtailbarrow::cell
