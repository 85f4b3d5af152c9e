#pragma once

#include <cstdint>

#include "src/core/cell/JobEntry.h"

namespace foxtailbarrow::cell {

/// Whether a job can still meet its deadline, best first.
enum class Timeliness : std::uint8_t
{
  OnTime,
  Late,
  Hopeless,
};

/// Of standing tasks, whatever their age: they earn by running time, and the
/// oldest job is placed first. Batch work that can be on time precedes them, as
/// it soon frees its capacity.
inline constexpr Timeliness kStandingTimeliness = Timeliness::Late;

/// Classifies one occurrence of a job by the declared run times of its
/// remaining steps. Does no I/O.
Timeliness TimelinessOf(const JobEntry& aJob,
                        const OccurrenceEntry& aOccurrence,
                        bool aBegun,
                        Instant aNow);

} // namespace foxtailbarrow::cell
