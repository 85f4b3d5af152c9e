#pragma once

#include <cstdint>

#include "src/core/cell/JobEntry.h"

namespace foxtailbarrow::cell {

/// How much a job can still earn, best first.
enum class Timeliness : std::uint8_t
{
  OnTime,
  Late,
  Hopeless,
};

/// Of standing tasks, at any age: they earn by the time that they run, and the
/// oldest job is served first. Batch work that can be on time comes before
/// them, as it soon frees its room.
inline constexpr Timeliness kStandingTimeliness = Timeliness::Late;

/// What a job can still earn by one occurrence, by declared run times. Pure.
Timeliness TimelinessOf(const JobEntry& aJob,
                        const OccurrenceEntry& aOccurrence,
                        bool aBegun,
                        Instant aNow);

} // namespace foxtailbarrow::cell
