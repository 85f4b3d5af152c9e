#pragma once

#include <chrono>
#include <map>
#include <set>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Decides which other schedulers are asked. One that does not answer is
/// skipped: a request to a crashed one waits for its timeout, and a request
/// sent to a frozen one can't be refused as not run. One request at a time
/// probes whether it is back. Does no I/O.
class PeerAvailability
{
public:
  /// Longer than a connection timeout, shorter than a restart up to the first
  /// read of the store.
  static constexpr Duration kSkippedFor = std::chrono::milliseconds(2000);
  /// Upper bound for the answer of a scheduler that reaches the store.
  static constexpr Duration kUsualAnswerTime = std::chrono::milliseconds(100);

  /// True when the scheduler may be asked. If its last request timed out, only
  /// this request may ask it for now.
  bool MayAsk(const Endpoint& aPeer, Instant aNow);

  void OnAsked(const Endpoint& aPeer, Instant aNow);
  /// The request sent at `aAskedAt` was answered.
  void OnAnswered(const Endpoint& aPeer, Instant aAskedAt);
  /// It timed out.
  void OnSilent(const Endpoint& aPeer, Instant aAskedAt, Instant aNow);
  /// The connection was refused at once, so nothing was sent.
  void OnRefused(const Endpoint& aPeer, Instant aAskedAt);

private:
  struct Peer
  {
    std::multiset<Instant> mAsked; ///< Send times of unanswered requests.
    Instant mSkippedUntil{};
    bool mSilent = false; ///< The last request timed out.
  };

  static void Settle(Peer& aPeer, Instant aAskedAt);

  std::map<Endpoint, Peer> mPeers;
};

} // namespace foxtailbarrow::cell
