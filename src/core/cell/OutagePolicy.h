#pragma once

#include <map>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// When a caller that is refused because the store is away is to come back. An
/// outage that has lasted for a while lasts about as long again, so the wait
/// follows its age; it is spread, so that callers do not return together; and
/// it stays within what a caller may still wait, since the store may be back
/// at any moment. Whole seconds, as the answer's header has them.
/// `aRandom` is drawn from [0, 1).
Duration RetryDelay(Duration aOutageAge, double aRandom);

/// Answers to submissions while the store is away. Pure.
class OutagePolicy
{
public:
  /// Other schedulers that refused a moment ago are not asked again at once:
  /// without this each caller is held until the last of them has refused.
  static constexpr Duration kPeersRefusedFor = std::chrono::milliseconds(300);
  /// A write that got no answer may be carried out seconds later.
  static constexpr Duration kInDoubtFor = std::chrono::seconds(30);

  /// True when another scheduler may be able to do more than this one.
  bool MayForward(Instant aNow) const { return aNow >= mPeersRefuseUntil; }
  /// Every other scheduler that could be asked has refused.
  void OnPeersRefused(Instant aNow)
  {
    mPeersRefuseUntil = aNow + kPeersRefusedFor;
  }

  /// A write of the job's submission got no answer.
  void MarkInDoubt(const JobId& aJob, Instant aNow);
  /// Its fate is known.
  void OnSettled(const JobId& aJob) { mInDoubt.erase(aJob); }
  /// True while the job may be stored although nobody was told: a repeated
  /// submission of it can't be refused as not run.
  bool InDoubt(const JobId& aJob, Instant aNow) const;

private:
  Instant mPeersRefuseUntil{};
  std::map<JobId, Instant> mInDoubt; ///< Since when.
};

} // namespace foxtailbarrow::cell
