#include "src/core/placement/FairOrder.h"

namespace foxtailbarrow {

FairOrder::Candidate FairOrder::CandidateOf(const CustomerId& aCustomer) const
{
  return { mQuotas.DominantShare(aCustomer, mTotal),
           mQuotas.UsageOf(aCustomer).mJobs,
           aCustomer };
}

void FairOrder::Push(const CustomerId& aCustomer)
{
  mCandidates.push(CandidateOf(aCustomer));
}

std::optional<CustomerId> FairOrder::Pop()
{
  while (!mCandidates.empty()) {
    const Candidate taken = mCandidates.top();
    mCandidates.pop();
    Candidate current = CandidateOf(taken.mCustomer);
    if (current > taken) {
      mCandidates.push(std::move(current));
      continue;
    }
    return taken.mCustomer;
  }
  return std::nullopt;
}

} // namespace foxtailbarrow
