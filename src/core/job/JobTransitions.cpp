#include "src/core/job/JobTransitions.h"

#include <string>
#include <tuple>

namespace foxtailbarrow {

namespace {

JobRecord WithState(JobRecord aRecord, JobState aState, Reason aReason)
{
  aRecord.mState = aState;
  aRecord.mReason = std::string(ToString(aReason));
  return aRecord;
}

JobRecord AfterFailure(JobRecord aRecord,
                       const TaskStatus& aEnd,
                       std::int32_t aAttemptsLimit)
{
  ++aRecord.mAttempts;
  if (aRecord.mAttempts >= aAttemptsLimit) {
    return GivenUp(std::move(aRecord), Reason::FailsEverywhere);
  }
  JobRecord next = Requeued(std::move(aRecord), Reason::None);
  next.mReason = aEnd.mReason;
  return next;
}

JobRecord AfterCheckpoint(JobRecord aRecord, const TaskStatus& aEnd)
{
  aRecord.mCheckpoint = aEnd.mCheckpoint;
  ++aRecord.mEvictions;
  JobRecord next = Requeued(std::move(aRecord), Reason::None);
  next.mReason = aEnd.mReason;
  return next;
}

auto ProgressFields(const JobRecord& aRecord)
{
  return std::tie(aRecord.mState,
                  aRecord.mEpoch,
                  aRecord.mAgent,
                  aRecord.mCheckpoint,
                  aRecord.mAttempts,
                  aRecord.mEvictions,
                  aRecord.mCancelRequested,
                  aRecord.mReason);
}

} // namespace

JobRecord AssignedTo(JobRecord aRecord, const AgentId& aAgent)
{
  ++aRecord.mEpoch;
  aRecord.mAgent = aAgent;
  return WithState(std::move(aRecord), JobState::Assigned, Reason::None);
}

JobRecord Requeued(JobRecord aRecord, Reason aReason)
{
  const JobState state =
    aRecord.mCheckpoint.empty() ? JobState::Queued : JobState::Suspended;
  return WithState(std::move(aRecord), state, aReason);
}

JobRecord Cancelled(JobRecord aRecord)
{
  aRecord.mCancelRequested = true;
  return WithState(
    std::move(aRecord), JobState::Cancelled, Reason::CancelRequested);
}

JobRecord Parked(JobRecord aRecord, Reason aReason)
{
  return WithState(std::move(aRecord), JobState::Parked, aReason);
}

JobRecord GivenUp(JobRecord aRecord, Reason aReason)
{
  return WithState(std::move(aRecord), JobState::Failed, aReason);
}

JobRecord AfterEnd(JobRecord aRecord,
                   const TaskStatus& aEnd,
                   std::int32_t aAttemptsLimit)
{
  const bool standing = aRecord.mSpec.mKind == JobKind::Standing;
  if (aEnd.mState == TaskState::Finished && !standing) {
    return WithState(std::move(aRecord), JobState::Finished, Reason::None);
  }
  if (aRecord.mCancelRequested) {
    return Cancelled(std::move(aRecord));
  }
  if (aEnd.mState == TaskState::Failed) {
    return AfterFailure(std::move(aRecord), aEnd, aAttemptsLimit);
  }
  if (aEnd.mState == TaskState::Checkpointed) {
    return AfterCheckpoint(std::move(aRecord), aEnd);
  }
  JobRecord next = Requeued(std::move(aRecord), Reason::None);
  next.mReason = aEnd.mReason;
  return next;
}

bool SameProgress(const JobRecord& aLeft, const JobRecord& aRight)
{
  return ProgressFields(aLeft) == ProgressFields(aRight);
}

} // namespace foxtailbarrow
