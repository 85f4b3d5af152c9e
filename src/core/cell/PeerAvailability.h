#pragma once

#include <chrono>
#include <map>
#include <set>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Which other schedulers need not be asked, as they do not answer: a request
/// that asks a dead one waits for its time-out, and what was sent to a frozen
/// one can't be refused as not run. One request at a time finds out whether it
/// is back. Pure.
class PeerAvailability
{
public:
  /// Longer than the timeout of a connection, shorter than a restart takes
  /// with its first look at the store.
  static constexpr Duration kSkippedFor = std::chrono::milliseconds(2000);
  /// Of an answer by a scheduler that the store serves.
  static constexpr Duration kUsualAnswerTime = std::chrono::milliseconds(100);

  /// True when the scheduler may be asked; where it has not answered before,
  /// by this request alone.
  bool MayAsk(const Endpoint& aPeer, Instant aNow);

  /// It is asked now.
  void OnAsked(const Endpoint& aPeer, Instant aNow);
  /// What was asked then is answered.
  void OnAnswered(const Endpoint& aPeer, Instant aAskedAt);
  /// It has not answered in time.
  void OnSilent(const Endpoint& aPeer, Instant aAskedAt, Instant aNow);
  /// It could not be asked, and said so at once.
  void OnRefused(const Endpoint& aPeer, Instant aAskedAt);

private:
  struct Peer
  {
    std::multiset<Instant> mAsked; ///< Without an answer yet.
    Instant mSkippedUntil{};
    bool mSilent = false; ///< It did not answer the last time.
  };

  static void Settle(Peer& aPeer, Instant aAskedAt);

  std::map<Endpoint, Peer> mPeers;
};

} // namespace foxtailbarrow::cell
