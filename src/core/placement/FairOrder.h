#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "src/core/placement/QuotaTracker.h"

namespace foxtailbarrow {

/// Chooses the customer whose job is placed next: the one whose team has the
/// least dominant share, then the one with fewest running jobs. Shares only
/// grow during a round, so a stale entry is detected when it is popped.
class FairOrder
{
public:
  FairOrder(const QuotaTracker& aQuotas, const Resources& aTotal)
    : mQuotas(aQuotas)
    , mTotal(aTotal)
  {
  }

  void Push(const CustomerId& aCustomer);

  /// nullopt if no customer is left.
  std::optional<CustomerId> Pop();

private:
  struct Candidate
  {
    double mShare = 0.0;
    std::int32_t mJobs = 0;
    CustomerId mCustomer;

    bool operator>(const Candidate& aOther) const
    {
      return std::tie(mShare, mJobs, mCustomer) >
             std::tie(aOther.mShare, aOther.mJobs, aOther.mCustomer);
    }
  };

  Candidate CandidateOf(const CustomerId& aCustomer) const;

  const QuotaTracker& mQuotas;
  Resources mTotal;
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>>
    mCandidates;
};

} // namespace foxtailbarrow
