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
    const Candidate top = mCandidates.top();
    mCandidates.pop();
    Candidate current = CandidateOf(top.mCustomer);
    if (current > top) {
      mCandidates.push(std::move(current));
      continue;
    }
    return top.mCustomer;
  }
  return std::nullopt;
}

} // namespace foxtailbarrow
