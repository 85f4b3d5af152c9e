#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Fencing epoch of an assignment, incremented with every assignment of the
/// job. A worker refuses an epoch lower than the highest it has received.
using Epoch = std::uint64_t;

enum class JobKind : std::uint8_t
{
  Batch,     ///< Runs to completion; may be evicted and resumed (a report).
  Exclusive, ///< Runs to completion, one instance at most (a restore test).
  Standing,  ///< Runs until cancelled, one instance at most (a log reader).
};

enum class JobPriority : std::uint8_t
{
  Normal,
  Urgent, ///< Starts within 7.1 s; may evict batch work where allowed.
};

/// A job as submitted. Immutable once accepted.
struct JobSpec
{
  JobId mId;
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  JobPriority mPriority = JobPriority::Normal;
  Resources mDeclared;         ///< Declared size; may be very inaccurate.
  Duration mDeclaredRunTime{}; ///< Declared run time; may be very inaccurate.
  std::string mProgram;        ///< Name of the program, opaque here.
  std::string mArguments;      ///< Opaque here, at most 16 KiB.

  bool operator==(const JobSpec&) const = default;
};

enum class JobState : std::uint8_t
{
  Queued,    ///< Accepted, waiting for a worker.
  Assigned,  ///< Assigned to an agent under an epoch; may be running.
  Suspended, ///< Evicted with a checkpoint; waits for a worker to resume on.
  Parked,    ///< Fits no worker or contract as declared; see the reason.
  Finished,  ///< Succeeded. Final.
  Failed,    ///< Reached the limit of failed attempts. Final.
  Cancelled, ///< Stopped on the customer's request. Final.
};

/// Durable record of a job, changed by compare-and-swap only.
/// Store key: `/foxtailbarrow/jobs/<shard>/<id>`.
struct JobRecord
{
  JobSpec mSpec;
  JobState mState = JobState::Queued;
  Epoch mEpoch = 0; ///< Of the latest assignment; 0 = never assigned.
  std::optional<AgentId> mAgent; ///< Agent of the latest assignment.
  std::string mCheckpoint;       ///< Reference to resume from; empty = none.
  std::int32_t mAttempts = 0;    ///< Assignments that ended in failure.
  std::int32_t mEvictions = 0;
  bool mCancelRequested = false;
  std::string mReason; ///< Machine-readable, see Reason.h.

  bool operator==(const JobRecord&) const = default;
};

std::string_view ToString(JobKind aKind);
std::string_view ToString(JobPriority aPriority);
std::string_view ToString(JobState aState);
std::optional<JobKind> ParseJobKind(std::string_view aText);
std::optional<JobPriority> ParseJobPriority(std::string_view aText);
std::optional<JobState> ParseJobState(std::string_view aText);

/// True for Finished, Failed and Cancelled.
bool IsFinal(JobState aState);

} // namespace foxtailbarrow
