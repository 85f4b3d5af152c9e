#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Resources.h"
#include "src/core/trace/ExpectedOutcomes.h"
#include "src/core/trace/TraceEvents.h"

namespace foxtailbarrow {

/// Inclusive range.
struct Range
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

/// A kind of request that a customer sends.
struct RequestShape
{
  double mWeight = 1.0; ///< Relative share among the customer's kinds.
  std::string mMethod;
  std::string mPath; ///< A number is appended.
  Range mBodyBytes;
  bool mIdempotent = false;
  std::int64_t mDeadlineMs = 0;
  std::int64_t mMedianServiceUs = 0;
};

/// A kind of job that a customer submits.
struct JobShape
{
  std::string mName; ///< Prefix of the job ids.
  std::int64_t mCount = 0;
  Range mAtMs; ///< Time of submission.
  JobKind mKind = JobKind::Batch;
  JobPriority mPriority = JobPriority::Normal;
  Resources mDeclared;
  std::int64_t mDeclaredRunMs = 0;
  Range mRunMs;                 ///< Real; differs greatly from mDeclaredRunMs.
  double mUsed = 1.0;           ///< Real size relative to the declared size.
  std::int64_t mCancelAtMs = 0; ///< 0 = never cancelled.
  JobState mEndState = JobState::Finished;
};

struct CustomerShape
{
  Contract mContract;
  double mRequestsPerSecond = 0.0; ///< Off-peak.
  std::vector<RequestShape> mRequests;
  std::vector<JobShape> mJobs;
};

/// Parameters from which the trace of a deployment is generated.
struct DeploymentShape
{
  std::string mName;
  std::int64_t mDurationMs = 0;
  double mPeakFactor = 1.0; ///< Load at mid-trace relative to off-peak.
  std::vector<CustomerShape> mCustomers;
  std::vector<TraceContract> mChanges; ///< Contract changes during the trace.
  ExpectedOutcomes mOutcomes;
};

/// A contract change that doubles the customer's rate and concurrency limits.
TraceContract WithDoubledLimits(Contract aContract, std::int64_t aAtMs);

/// A mileage logbook: end-of-day trip syncs, deduction reports, route watchers.
DeploymentShape TrasowkaShape();

/// Database backups: verifications, restore rehearsals, log followers.
DeploymentShape QoimaShape();

/// Finds a shape by name, "trasowka" or "qoima".
std::optional<DeploymentShape> FindDeploymentShape(std::string_view aName);

} // namespace foxtailbarrow
