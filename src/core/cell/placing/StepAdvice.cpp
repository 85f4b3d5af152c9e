#include "src/core/cell/placing/StepAdvice.h"

#include <algorithm>

namespace foxtailbarrow::cell {

namespace {

/// Time reserved from a ticket's lifetime for the order to reach the worker; at
/// most half of the lifetime.
constexpr Duration kOrderTransitTime = std::chrono::milliseconds(400);

} // namespace

const std::string* StepAdvice::Ticket(const WorkerIncarnation& aWorker,
                                      Instant aNow) const
{
  const auto found = mTickets.find(aWorker);
  return found == mTickets.end() || aNow >= found->second.mUntil
           ? nullptr
           : &found->second.mText;
}

void StepAdvice::OnReply(const AdviceQuery& aQuery,
                         const AdviceReply& aReply,
                         Instant aReceivedAt)
{
  const Duration usable =
    aReply.mTicketLifetime -
    std::min<Duration>(kOrderTransitTime, aReply.mTicketLifetime / 2);
  for (const AdviceGrant& grant : aReply.mGranted) {
    mTickets[grant.mWorker] = { grant.mTicket, aReceivedAt + usable };
  }
  for (const WorkerIncarnation& worker : aQuery.mWorkers) {
    const bool granted =
      std::ranges::any_of(aReply.mGranted, [&](const AdviceGrant& aGrant) {
        return aGrant.mWorker == worker;
      });
    if (!granted) {
      mDenied.insert(worker);
    }
  }
}

} // namespace foxtailbarrow::cell
