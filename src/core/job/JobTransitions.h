#pragma once

#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Worker.h"

/// The state machine of a job: each function gives the record that may replace
/// another by compare-and-swap. None lowers an epoch or leaves a final state.
namespace foxtailbarrow {

/// Given to an agent under the next epoch. A checkpoint stays in the record,
/// so that it moves together with the epoch.
JobRecord AssignedTo(JobRecord aRecord, const AgentId& aAgent);

/// Back to waiting: Suspended when there is a checkpoint, else Queued. The
/// caller knows that the latest assignment does not run.
JobRecord Requeued(JobRecord aRecord, Reason aReason);

JobRecord Cancelled(JobRecord aRecord);
JobRecord Parked(JobRecord aRecord, Reason aReason);
JobRecord GivenUp(JobRecord aRecord, Reason aReason);

/// The record after its task ended as `aEnd` says, which is not Running. A
/// failure counts an attempt; the one that reaches `aAttemptsLimit` is final.
JobRecord AfterEnd(JobRecord aRecord,
                   const TaskStatus& aEnd,
                   std::int32_t aAttemptsLimit);

/// True when a lost write of `aLeft` may be taken as applied, having read
/// `aRight`: all that changes in a record's life is equal.
bool SameProgress(const JobRecord& aLeft, const JobRecord& aRight);

} // namespace foxtailbarrow
