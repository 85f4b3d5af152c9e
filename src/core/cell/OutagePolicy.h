#pragma once

#include <map>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/cell/records/CellRecords.h"

namespace foxtailbarrow::cell {

/// Retry delay of a caller that is refused because the store is unavailable. An
/// outage tends to last about as long again as it has lasted, so the delay
/// grows with its age. It is jittered, so that callers do not return together,
/// and bounded by what a caller may still wait, since the store may be back at
/// any moment. In whole seconds, as the Retry-After header has them. `aRandom`
/// is drawn from [0, 1).
Duration RetryDelay(Duration aOutageAge, double aRandom);

/// Decides how submissions are answered while the store is unavailable. Does no
/// I/O.
class OutagePolicy
{
public:
  /// Other schedulers that have just refused are not asked again for this long:
  /// otherwise each caller waits until the last of them has refused.
  static constexpr Duration kPeersRefusedFor = std::chrono::milliseconds(300);
  /// A write that got no answer may still be applied seconds later.
  static constexpr Duration kInDoubtFor = kLateCallTime;

  /// True when another scheduler may be able to handle the request.
  bool MayForward(Instant aNow) const { return aNow >= mPeersRefuseUntil; }
  /// Every other scheduler that could be asked has refused.
  void OnPeersRefused(Instant aNow)
  {
    mPeersRefuseUntil = aNow + kPeersRefusedFor;
  }

  /// A write of the job's submission got no answer.
  void MarkInDoubt(const JobId& aJob, Instant aNow);
  /// The outcome of the write is known.
  void OnSettled(const JobId& aJob) { mInDoubt.erase(aJob); }
  /// True while the job may be stored without its caller knowing: a repeated
  /// submission of it can't be refused as not run.
  bool InDoubt(const JobId& aJob, Instant aNow) const;

private:
  Instant mPeersRefuseUntil{};
  std::map<JobId, Instant> mInDoubt; ///< Since when.
};

} // namespace foxtailbarrow::cell
