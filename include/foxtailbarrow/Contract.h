#pragma once

#include <cstdint>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"

namespace foxtailbarrow {

/// Revision of the platform's store at which a value was written. Later writes
/// have greater revisions. 0 means "none".
using Revision = std::int64_t;

/// What a customer's batch work may use.
struct BatchLimits
{
  Resources mTotal;                 ///< Over all workers together.
  std::int32_t mMaxRunningJobs = 0; ///< Jobs running at a time.
  double mSharePerWorker = 0.0;     ///< Of each worker's processors, 0..1.

  bool operator==(const BatchLimits&) const = default;
};

/// How much an outcome weighs in decisions about this customer's work, 0..100.
struct PolicyWeights
{
  double mTailLatency = 1.0;
  double mEvictions = 1.0;

  bool operator==(const PolicyWeights&) const = default;
};

/// The one document that an operator writes for a customer. Every limit of the
/// system follows from it. Source: store key `/foxtailbarrow/contracts/<id>`.
struct Contract
{
  CustomerId mCustomer;
  TeamId mTeam;       ///< Quotas are shared within a team.
  ServiceId mService; ///< Service whose backend servers answer its requests.
  std::int32_t mMaxCopies = 0;      ///< Licensed copies that may run.
  std::int32_t mMaxConcurrency = 0; ///< Requests in progress at a time.
  double mRequestsPerSecond = 0.0;  ///< Admitted on average.
  std::int32_t mBurst = 0;          ///< Admitted at once after a pause.
  BatchLimits mBatch;
  PolicyWeights mWeights;
  bool mUrgentAllowed = false; ///< Its urgent jobs may evict batch work.
  Revision mRevision = 0;      ///< Set from the store, not by the operator.

  bool operator==(const Contract&) const = default;
};

} // namespace foxtailbarrow
