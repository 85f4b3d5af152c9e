#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

using QueueId = Id<struct QueueTag>;

/// Longest identifier of a job, and longest payload that a task receives.
inline constexpr std::size_t kMaxPayloadBytes = 4000;
inline constexpr std::int32_t kMaxStepReplicas = 10'000;
inline constexpr std::size_t kMaxSteps = 64;
inline constexpr std::int32_t kMaxOccurrences = 10'000;
/// Longest estimate of a task, latency target and interval of a recurrence.
inline constexpr Duration kMaxDeclaredTime = std::chrono::hours(365 * 24);

/// A set of identical tasks of a job.
struct StepSpec
{
  std::int32_t mReplicas = 1; ///< Tasks of the step.
  Resources mDemand;          ///< Of each task.
  Duration mEstimate{};       ///< Declared run time of a task; may be wrong.
  std::vector<std::int32_t> mAfter; ///< Earlier steps that must be done first.
  bool mCheckpoints = false;        ///< Resumes from a saved checkpoint.
  bool mGang = false;        ///< All tasks run together and end together.
  bool mSameRack = false;    ///< Slower when spread over several racks.
  bool mSpeculative = false; ///< Copies may run; the first to finish counts.
  bool mStanding = false;    ///< Lasts until cancelled; restarted when it ends.
  /// Processors are not reserved: the task uses what other tasks leave.
  bool mBestEffort = false;
  std::string mRequiredLabel; ///< The worker must have it; empty = any worker.
  RackId mDataRack;           ///< Faster there; empty = no preference.
  std::int32_t mMaxPerWorker = 0;   ///< Tasks of the step on a worker; 0 = any.
  std::int32_t mMaxUnavailable = 0; ///< Bound on planned outages; 0 = none set.
  std::string mImage;               ///< Tasks of one image behave alike.
  Duration mLatencyTarget{}; ///< Tail latency of a serving task; 0 = not one.

  bool operator==(const StepSpec&) const = default;
};

/// Repetitions of a job at due times. Without any, it has one occurrence.
struct Recurrence
{
  std::int32_t mCount = 0; ///< 0 = runs once, immediately.
  std::int64_t mFirstDueUnixMs = 0;
  std::int64_t mIntervalMs = 0;

  bool operator==(const Recurrence&) const = default;
};

/// A submitted job: steps with dependencies. Immutable after acceptance. A job
/// of one task is a graph of one step with one replica.
struct JobGraph
{
  JobId mId;
  QueueId mQueue;
  std::string mPayload; ///< Passed to each task; opaque to the scheduler.
  std::vector<StepSpec> mSteps;
  Recurrence mRecurrence;

  bool operator==(const JobGraph&) const = default;
};

/// InvalidArgument for a graph that no caller can have submitted: of a number
/// of steps, a dependency, an estimate or a recurrence out of bounds. Records
/// and messages may contain one that somebody else has written.
absl::Status CheckGraph(const JobGraph& aGraph);

/// Number of executions of the steps, at least 1.
inline std::int32_t Occurrences(const JobGraph& aGraph)
{
  return aGraph.mRecurrence.mCount > 0 ? aGraph.mRecurrence.mCount : 1;
}

} // namespace foxtailbarrow::cell
