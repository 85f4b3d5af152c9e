#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Decides when a scheduler tries to take ownership of a cell without an owner.
/// Schedulers with little processor time let others go first. Does no I/O.
class Candidacy
{
public:
  /// `aProcessorShare`: share of one core that this process may use.
  explicit Candidacy(double aProcessorShare)
    : mDelay(aProcessorShare < kAmpleShare ? kWeakDelay : Duration::zero())
  {
  }

  /// Called when the cell has no owner. True when this scheduler may take it
  /// now.
  bool MayTake(Instant aNow)
  {
    if (!mVacantSince) {
      mVacantSince = aNow;
    }
    return aNow - *mVacantSince >= mDelay;
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
