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

/// Both ends belong to the range.
struct Range
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

/// One kind of request that a customer sends.
struct RequestShape
{
  double mWeight = 1.0; ///< Share among the customer's kinds.
  std::string mMethod;
  std::string mPath; ///< A number is appended.
  Range mBodyBytes;
  bool mIdempotent = false;
  std::int64_t mDeadlineMs = 0;
  std::int64_t mMedianServiceUs = 0;
};

/// One kind of job that a customer submits.
struct JobShape
{
  std::string mName; ///< Prefix of the ids.
  std::int64_t mCount = 0;
  Range mAtMs; ///< Submitted within.
  JobKind mKind = JobKind::Batch;
  JobPriority mPriority = JobPriority::Normal;
  Resources mDeclared;
  std::int64_t mDeclaredRunMs = 0;
  Range mRunMs;                 ///< Real; far off what is declared.
  double mUsed = 1.0;           ///< Real size over declared size.
  std::int64_t mCancelAtMs = 0; ///< 0 = never cancelled.
  JobState mEndState = JobState::Finished;
};

struct CustomerShape
{
  Contract mContract;
  double mRequestsPerSecond = 0.0; ///< Before and after the rush.
  std::vector<RequestShape> mRequests;
  std::vector<JobShape> mJobs;
};

/// Everything from which a trace of a deployment is generated.
struct DeploymentShape
{
  std::string mName;
  std::int64_t mDurationMs = 0;
  double mPeakFactor = 1.0; ///< Load at the top of the rush, mid-trace.
  std::vector<CustomerShape> mCustomers;
  std::vector<TraceContract> mChanges; ///< Contracts changed on the way.
  ExpectedOutcomes mOutcomes;
};

/// The operator doubles a customer's limits at this time of the trace.
TraceContract WithDoubledLimits(Contract aContract, std::int64_t aAtMs);

/// The mileage ledger: end-of-day trip syncs, deduction reports, watchers.
DeploymentShape TrasowkaShape();

/// Database backups: verification checks, restore rehearsals, log followers.
DeploymentShape QoimaShape();

/// By name, "trasowka" or "qoima".
std::optional<DeploymentShape> FindDeploymentShape(std::string_view aName);

} // namespace foxtailbarrow
