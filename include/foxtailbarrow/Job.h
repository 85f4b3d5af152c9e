#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Fencing epoch of an assignment: raised by one with every assignment of the
/// job. A worker refuses an epoch lower than one that it has seen.
using Epoch = std::uint64_t;

enum class JobKind : std::uint8_t
{
  Batch,     ///< Runs to an end; may be evicted and resumed (a report).
  Exclusive, ///< Runs to an end, in one place at most (a restore rehearsal).
  Standing,  ///< Runs until cancelled, in one place at most (a log follower).
};

enum class JobPriority : std::uint8_t
{
  Normal,
  Urgent, ///< Starts within 7.1 s; may evict batch work where allowed.
};

/// What the caller asked for. Never changes after it was accepted.
struct JobSpec
{
  JobId mId;
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  JobPriority mPriority = JobPriority::Normal;
  Resources mDeclared;         ///< Declared size; may be far off.
  Duration mDeclaredRunTime{}; ///< Declared run time; may be far off.
  std::string mProgram;        ///< Name of the program, opaque to us.
  std::string mArguments;      ///< Opaque to us, at most 16 KiB.

  bool operator==(const JobSpec&) const = default;
};

enum class JobState : std::uint8_t
{
  Queued,    ///< Accepted, waiting for a place.
  Assigned,  ///< Given to an agent under an epoch; may be running.
  Suspended, ///< Evicted with a checkpoint; waits for a place to resume.
  Parked,    ///< Can never run as declared; the reason says why.
  Finished,  ///< Ended with success. Final.
  Failed,    ///< Ended without success too often. Final.
  Cancelled, ///< Stopped at the customer's wish. Final.
};

/// Durable record of a job. Changed by compare-and-swap only.
/// Source: store key `/foxtailbarrow/jobs/<shard>/<id>`.
struct JobRecord
{
  JobSpec mSpec;
  JobState mState = JobState::Queued;
  Epoch mEpoch = 0;              ///< Of the latest assignment; 0 = none yet.
  std::optional<AgentId> mAgent; ///< Holder of the latest assignment.
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
