#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "soak/FaultPlan.h"

namespace foxtailbarrow::soak {

/// Tells from the plan of faults when an agent is bound to protect the serving
/// tasks on its worker: while nothing has touched the two for a while, and once
/// an agent that was restarted has had calm enough to be told what runs. Pure.
class FaultTimeline
{
public:
  /// The plan begins at `aStart`.
  FaultTimeline(const std::vector<Fault>& aPlan,
                Instant aStart,
                std::int64_t aWorkers);

  /// True for a task of the incarnation that is over its target since then.
  bool IsProtected(std::string_view aIncarnation, Instant aSince) const;

private:
  struct Span
  {
    Instant mFrom{};
    Instant mTo{};
    std::optional<unsigned> mWorker; ///< Empty = all, or the cell's owner.
    bool mAffectsWorker = false;     ///< The worker or its agent.
    bool mRestartsAgent = false;     ///< The agent.
  };

  bool IsAffected(unsigned aWorker, Instant aFrom, Instant aTo) const;
  Instant LastRestart(unsigned aWorker, Instant aBefore) const;
  bool HasFaultFreePeriod(Instant aFrom, Instant aTo) const;

  std::vector<Span> mSpans;
};

} // namespace foxtailbarrow::soak
