#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "soak/FaultPlan.h"

namespace foxtailbarrow::soak {

/// How long after the store has acknowledged a cordon starts may still happen.
inline constexpr Duration kCordonTime = std::chrono::seconds(5);

/// Decides from the fault plan when an agent must protect the serving tasks on
/// its worker: when no fault has affected either of them for a while and a
/// restarted agent has had a fault-free period long enough to learn from the
/// owner what runs. No I/O, no clock.
class FaultTimeline
{
public:
  /// `aStart` is the time at which the plan begins.
  FaultTimeline(const std::vector<Fault>& aPlan,
                Instant aStart,
                std::int64_t aWorkers);

  /// True when a task on the incarnation that has been over its target since
  /// `aSince` should have been protected.
  bool IsProtected(std::string_view aIncarnation, Instant aSince) const;

  /// True when nothing may start on the incarnation at `aAt` in a failure
  /// domain that was cordoned at `aCordonedAt`: the store has answered for
  /// kCordonTime, and no fault has delayed the agent's orders.
  bool CordonBinds(std::string_view aIncarnation,
                   Instant aCordonedAt,
                   Instant aAt) const;

private:
  struct Span
  {
    Instant mFrom{};
    Instant mTo{};
    std::optional<unsigned> mWorker; ///< Empty: all workers, or the owner.
    bool mAffectsWorker = false;     ///< Or its agent.
    bool mRestartsAgent = false;
    bool mStoreAway = false; ///< For all schedulers.
  };

  bool IsAffected(unsigned aWorker, Instant aFrom, Instant aTo) const;
  Instant LastRestart(unsigned aWorker, Instant aBefore) const;
  bool HasFaultFreePeriod(Instant aFrom, Instant aTo) const;

  std::vector<Span> mSpans;
};

} // namespace foxtailbarrow::soak
