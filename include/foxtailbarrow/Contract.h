#pragma once

#include <cstdint>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"

namespace foxtailbarrow {

/// Store revision at which a value was written. Later writes have greater
/// revisions. 0 = none.
using Revision = std::int64_t;

/// Limits of a customer's batch work.
struct BatchLimits
{
  Resources mTotal;                 ///< Sum over all workers.
  std::int32_t mMaxRunningJobs = 0; ///< Running concurrently.
  double mSharePerWorker = 0.0;     ///< Of each worker's processors, 0..1.

  bool operator==(const BatchLimits&) const = default;
};

/// Weights of outcomes in decisions about this customer's work, 0..100.
struct PolicyWeights
{
  double mTailLatency = 1.0;
  double mEvictions = 1.0;

  bool operator==(const PolicyWeights&) const = default;
};

/// The document that an operator writes for a customer; all limits derive from
/// it. Store key: `/foxtailbarrow/contracts/<id>`.
struct Contract
{
  CustomerId mCustomer;
  TeamId mTeam;       ///< Quotas are shared within a team.
  ServiceId mService; ///< Service whose backend servers handle its requests.
  std::int32_t mMaxCopies = 0;      ///< Licensed copies that may run.
  std::int32_t mMaxConcurrency = 0; ///< Concurrent requests.
  double mRequestsPerSecond = 0.0;  ///< Average admission rate.
  /// Token bucket size: admitted at once after a pause.
  std::int32_t mBurst = 0;
  BatchLimits mBatch;
  PolicyWeights mWeights;
  /// Whether its urgent jobs may evict batch work.
  bool mUrgentAllowed = false;
  Revision mRevision = 0; ///< Set from the store, not by the operator.

  bool operator==(const Contract&) const = default;
};

} // namespace foxtailbarrow
