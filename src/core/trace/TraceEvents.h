#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Resources.h"

/// The lines of a trace after its header. Every `mAtMs` is in milliseconds from
/// the start of the trace.
namespace foxtailbarrow {

/// A caller's HTTP request.
struct TraceRequest
{
  std::int64_t mAtMs = 0;
  CustomerId mCustomer;
  std::string mMethod;
  std::string mPath;
  std::int64_t mBodyBytes = 0;
  bool mIdempotent = false; ///< Marked by the caller for any method.
  std::int64_t mDeadlineMs = 0;
  std::int64_t mServiceUs = 0; ///< Service time on the backend server.

  bool operator==(const TraceRequest&) const = default;
};

/// A job submission, with the real behaviour of the job and what it declares.
struct TraceJob
{
  std::int64_t mAtMs = 0;
  JobId mId;
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  JobPriority mPriority = JobPriority::Normal;
  Resources mDeclared;
  std::int64_t mDeclaredRunMs = 0;
  std::int64_t mRunMs = 0; ///< Real; 0 for standing jobs.
  Resources mUsed;         ///< Real.
  std::string mProgram;
  bool mFails = false;                     ///< Ends without success.
  JobState mEndState = JobState::Finished; ///< Expected outcome.

  bool operator==(const TraceJob&) const = default;
};

/// A cancellation of a job of an earlier line.
struct TraceCancel
{
  std::int64_t mAtMs = 0;
  JobId mJob;

  bool operator==(const TraceCancel&) const = default;
};

/// A contract applied by an operator.
struct TraceContract
{
  std::int64_t mAtMs = 0;
  Contract mContract;

  bool operator==(const TraceContract&) const = default;
};

using TraceEvent =
  std::variant<TraceRequest, TraceJob, TraceCancel, TraceContract>;

/// Due time of the event in milliseconds from the start of the trace.
std::int64_t AtMs(const TraceEvent& aEvent);

/// The specification submitted to an entry. Its program arguments define the
/// real behaviour of the job for the worker stand-in.
JobSpec ToJobSpec(const TraceJob& aJob);

} // namespace foxtailbarrow
