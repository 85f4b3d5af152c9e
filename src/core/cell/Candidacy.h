#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Decides when a scheduler tries to take a cell that has no owner: those with
/// little processor time let others go first. Pure.
class Candidacy
{
public:
  /// `aProcessorShare`: of one core, that this process may use.
  explicit Candidacy(double aProcessorShare)
    : mDelay(aProcessorShare < kAmpleShare ? kWeakDelay : Duration::zero())
  {
  }

  /// The cell was seen without an owner. True when it may be taken now.
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
  /// Longer than a store call, than a change of owner by a planned stop, and
  /// than the time between starts of processes that start together.
  static constexpr Duration kWeakDelay = std::chrono::milliseconds(500);

  Duration mDelay;
  std::optional<Instant> mVacantSince;
};

} // namespace foxtailbarrow::cell
