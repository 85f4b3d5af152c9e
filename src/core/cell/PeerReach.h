#pragma once

#include <chrono>
#include <map>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Which other schedulers need not be asked, as they do not answer: a request
/// that asks a dead one waits for its time-out, and what was sent to a frozen
/// one can't be refused as not run. One request at a time finds out whether it
/// is back. Pure.
class PeerReach
{
public:
  /// Longer than the time-out of a connection, shorter than a restart takes
  /// with its first look at the store. In a silent store with one dead
  /// scheduler of four, 14 of 64 refusals took 1.0 s without this, the others
  /// 2 ms at most (one played day).
  static constexpr Duration kLeftOutFor = std::chrono::milliseconds(2000);

  /// True when the scheduler may be asked; where it has not answered before,
  /// by this request alone.
  bool MayAsk(const Endpoint& aPeer, Instant aNow)
  {
    const auto found = mLeftOutUntil.find(aPeer);
    if (found == mLeftOutUntil.end()) {
      return true;
    }
    if (aNow < found->second) {
      return false;
    }
    found->second = aNow + kLeftOutFor;
    return true;
  }

  void NoteSilent(const Endpoint& aPeer, Instant aNow)
  {
    mLeftOutUntil[aPeer] = aNow + kLeftOutFor;
  }

  void NoteAnswer(const Endpoint& aPeer) { mLeftOutUntil.erase(aPeer); }

private:
  std::map<Endpoint, Instant> mLeftOutUntil;
};

} // namespace foxtailbarrow::cell
