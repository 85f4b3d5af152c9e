#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/QueuePolicy.h"

/// Requests of callers about jobs, and the answers.
namespace foxtailbarrow::cell {

struct SubmitJob
{
  JobGraph mGraph;
};

struct ReadJob
{
  JobId mJob;
};

struct CancelJob
{
  JobId mJob;
};

struct CountWaitingJobs
{
  QueueId mQueue;
};

struct JobRequest
{
  std::variant<SubmitJob, ReadJob, CancelJob, CountWaitingJobs> mBody;
  Duration mTimeout{}; ///< How long the caller waits for an answer.
};

/// The job is stored.
struct JobAccepted
{};

struct JobShown
{
  JobPhase mPhase = JobPhase::Queued;
};

struct JobCancelled
{};

struct WaitingCounted
{
  std::int64_t mWaiting = 0;
};

/// No job has this identifier.
struct NoSuchJob
{};

enum class RefusalCause : std::uint8_t
{
  NoSuchQueue,
  BadRequest,
  NotReady,         ///< No configuration yet, or the process is stopping.
  CellFull,         ///< The owner has no memory for another job.
  RateLimited,      ///< Too many cancellations of unknown jobs.
  StoreUnavailable, ///< The store refused the call or was not reached.
  Unsupported,      ///< The queue's workers are chosen by another service.
  Unknown,          ///< The store call may or may not have been applied.
};

std::string_view ToString(RefusalCause aCause);

/// With NotRun the request was not done and will not be; the caller may retry.
struct JobRefused
{
  RefusalCause mCause = RefusalCause::Unknown;
  Verdict mVerdict = Verdict::NotRun;
  std::string mMessage;
  /// Delay before a retry; 0 = not given.
  Duration mRetryAfter{};
};

using JobAnswer = std::variant<JobAccepted,
                               JobShown,
                               JobCancelled,
                               WaitingCounted,
                               NoSuchJob,
                               JobRefused>;

} // namespace foxtailbarrow::cell
