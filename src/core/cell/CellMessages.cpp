#include "src/core/cell/CellMessages.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow::cell {

namespace {

constexpr EnumText<RunEnd, 6> kRunEnds({
  { RunEnd::Done, "done" },
  { RunEnd::Failed, "failed" },
  { RunEnd::Stopped, "stopped" },
  { RunEnd::LeaseExpired, "lapsed" },
  { RunEnd::GangBroken, "broken" },
  { RunEnd::GangIncomplete, "alone" },
});

constexpr EnumText<StartOutcome, 8> kStartOutcomes({
  { StartOutcome::Started, "started" },
  { StartOutcome::NoFreeCapacity, "no-room" },
  { StartOutcome::StaleRun, "old-run" },
  { StartOutcome::Unhealthy, "unwell" },
  { StartOutcome::NoLease, "no-lease" },
  { StartOutcome::NoTicket, "no-ticket" },
  { StartOutcome::NotStarted, "not-started" },
  { StartOutcome::OverCapacity, "over-capacity" },
});

constexpr EnumText<JobPhase, 5> kJobPhases({
  { JobPhase::Queued, "queued" },
  { JobPhase::Running, "running" },
  { JobPhase::Completed, "completed" },
  { JobPhase::Failed, "failed" },
  { JobPhase::Cancelled, "cancelled" },
});

} // namespace

std::string_view ToString(RunEnd aEnd)
{
  return kRunEnds.Text(aEnd);
}

std::string_view ToString(StartOutcome aOutcome)
{
  return kStartOutcomes.Text(aOutcome);
}

std::string_view ToString(JobPhase aPhase)
{
  return kJobPhases.Text(aPhase);
}

} // namespace foxtailbarrow::cell
