#include "foxtailbarrow/Job.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<JobKind, 3> kKinds({
  { JobKind::Batch, "batch" },
  { JobKind::Exclusive, "exclusive" },
  { JobKind::Standing, "standing" },
});

constexpr EnumText<JobPriority, 2> kPriorities({
  { JobPriority::Normal, "normal" },
  { JobPriority::Urgent, "urgent" },
});

constexpr EnumText<JobState, 7> kStates({
  { JobState::Queued, "queued" },
  { JobState::Assigned, "assigned" },
  { JobState::Suspended, "suspended" },
  { JobState::Parked, "parked" },
  { JobState::Finished, "finished" },
  { JobState::Failed, "failed" },
  { JobState::Cancelled, "cancelled" },
});

} // namespace

std::string_view ToString(JobKind aKind)
{
  return kKinds.Text(aKind);
}

std::string_view ToString(JobPriority aPriority)
{
  return kPriorities.Text(aPriority);
}

std::string_view ToString(JobState aState)
{
  return kStates.Text(aState);
}

std::optional<JobKind> ParseJobKind(std::string_view aText)
{
  return kKinds.Parse(aText);
}

std::optional<JobPriority> ParseJobPriority(std::string_view aText)
{
  return kPriorities.Parse(aText);
}

std::optional<JobState> ParseJobState(std::string_view aText)
{
  return kStates.Parse(aText);
}

bool IsFinal(JobState aState)
{
  return aState == JobState::Finished || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

} // namespace foxtailbarrow
