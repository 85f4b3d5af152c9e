#pragma once

#include <map>
#include <set>
#include <string>

#include "src/core/cell/placing/PlacementAdvice.h"

namespace foxtailbarrow::cell {

/// The service's advice on which workers may run one step. Which workers may
/// does not change, but tickets expire. Pure.
class StepAdvice
{
public:
  /// Returns the worker's ticket, or null without one that stays valid for the
  /// time an order takes.
  const std::string* Ticket(const WorkerIncarnation& aWorker,
                            Instant aNow) const;
  bool Denied(const WorkerIncarnation& aWorker) const
  {
    return mDenied.contains(aWorker);
  }

  void OnReply(const AdviceQuery& aQuery,
               const AdviceReply& aReply,
               Instant aReceivedAt);
  /// The worker rejected its ticket.
  void OnTicketRejected(const WorkerIncarnation& aWorker)
  {
    mTickets.erase(aWorker);
  }

  /// The service did not answer: do not query it again before `aUntil`.
  void Defer(Instant aUntil) { mNotBefore = aUntil; }
  bool MayQuery(Instant aNow) const { return aNow >= mNotBefore; }

private:
  struct HeldTicket
  {
    std::string mText;
    Instant mUntil;
  };

  std::map<WorkerIncarnation, HeldTicket> mTickets;
  std::set<WorkerIncarnation> mDenied;
  Instant mNotBefore{};
};

} // namespace foxtailbarrow::cell
