#include "src/core/placement/FairOrder.h"

namespace foxtailbarrow {

FairOrder::Turn FairOrder::TurnOf(const CustomerId& aCustomer) const
{
  return { mQuotas.DominantShare(aCustomer, mTotal),
           mQuotas.UsageOf(aCustomer).mJobs,
           aCustomer };
}

void FairOrder::Push(const CustomerId& aCustomer)
{
  mTurns.push(TurnOf(aCustomer));
}

std::optional<CustomerId> FairOrder::Pop()
{
  while (!mTurns.empty()) {
    const Turn taken = mTurns.top();
    mTurns.pop();
    Turn current = TurnOf(taken.mCustomer);
    if (current > taken) {
      mTurns.push(std::move(current));
      continue;
    }
    return taken.mCustomer;
  }
  return std::nullopt;
}

} // namespace foxtailbarrow
