#pragma once

#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Worker.h"

/// The state machine of a job: each function returns the record that may
/// replace the given one by compare-and-swap. None lowers the epoch or leaves a
/// final state.
namespace foxtailbarrow {

/// Assigned to an agent under the next epoch. The checkpoint stays in the
/// record, so that it is written together with the epoch.
JobRecord AssignedTo(JobRecord aRecord, const AgentId& aAgent);

/// Waiting again: Suspended if there is a checkpoint, else Queued.
/// Precondition: the latest assignment certainly does not run.
JobRecord Requeued(JobRecord aRecord, Reason aReason);

JobRecord Cancelled(JobRecord aRecord);
JobRecord Parked(JobRecord aRecord, Reason aReason);
JobRecord GivenUp(JobRecord aRecord, Reason aReason);

/// The record after its task ended with status `aEnd`, which is not Running. A
/// failure counts as an attempt; the one that reaches `aAttemptsLimit` is
/// final.
JobRecord AfterEnd(JobRecord aRecord,
                   const TaskStatus& aEnd,
                   std::int32_t aAttemptsLimit);

/// True if all mutable fields are equal, so that a write of `aLeft` whose reply
/// was lost counts as applied after `aRight` was read.
bool SameProgress(const JobRecord& aLeft, const JobRecord& aRight);

} // namespace foxtailbarrow
