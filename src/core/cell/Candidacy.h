#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Decides when a scheduler tries to take ownership of a cell without an owner.
/// Schedulers with little processor time let others go first, and those that
/// may go first are staggered, so that most of them see the new owner before
/// their turn. Does no I/O.
///
/// Load pattern: the owner's key goes, and all schedulers see it within
/// milliseconds.
class Candidacy
{
public:
  /// Longest turn.
  static constexpr Duration kStagger = std::chrono::milliseconds(120);

  /// A candidate's turn, for `aRandom` drawn from [0, 1). The density of turns
  /// grows exponentially up to kStagger (timer-based suppression), so that the
  /// number of candidates that act before they see the first one succeed hardly
  /// depends on how many there are.
  static Duration Turn(double aRandom)
  {
    constexpr double kGrowth = 7.0; ///< For up to some e^7 candidates.
    return std::chrono::duration_cast<Duration>(
      kStagger * (std::log1p(aRandom * std::expm1(kGrowth)) / kGrowth));
  }

  /// `aProcessorShare`: share of one core that this process may use. `aTurn`:
  /// see Turn().
  explicit Candidacy(double aProcessorShare, Duration aTurn = Duration::zero())
    : mDelay((aProcessorShare < kAmpleShare ? kWeakDelay : Duration::zero()) +
             aTurn)
  {
  }

  /// Called when the cell has no owner. True when this scheduler may take it
  /// now.
  bool MayTake(Instant aNow) { return TakesIn(aNow) <= Duration::zero(); }

  /// As above: the time until this scheduler may take the cell; zero if it may
  /// now.
  Duration TakesIn(Instant aNow)
  {
    if (!mVacantSince) {
      mVacantSince = aNow;
    }
    return std::max(*mVacantSince + mDelay - aNow, Duration::zero());
  }

  void OnOwnerSeen() { mVacantSince.reset(); }

private:
  static constexpr double kAmpleShare = 0.2;
  /// Longer than a store call, a handover at a planned stop, and the time
  /// between the starts of processes that start together.
  static constexpr Duration kWeakDelay = std::chrono::milliseconds(500);

  Duration mDelay;
  std::optional<Instant> mVacantSince;
};

} // namespace foxtailbarrow::cell
