#pragma once

#include <map>
#include <set>
#include <string>

#include "src/core/cell/PlacementAdvice.h"

namespace foxtailbarrow::cell {

/// What is known of the workers that may run one step. Which may does not
/// change; tickets run out. Pure.
class StepAdvice
{
public:
  /// Null without a ticket that is valid for a while yet.
  const std::string* Ticket(const WorkerIncarnation& aWorker,
                            Instant aNow) const;
  bool Denied(const WorkerIncarnation& aWorker) const
  {
    return mDenied.contains(aWorker);
  }

  void Take(const AdviceQuery& aQuery,
            const AdviceReply& aReply,
            Instant aReceivedAt);
  /// The worker rejected its ticket.
  void Reject(const WorkerIncarnation& aWorker) { mTickets.erase(aWorker); }

  /// The service did not answer: it is not asked again before `aUntil`.
  void Defer(Instant aUntil) { mNotBefore = aUntil; }
  bool MayAsk(Instant aNow) const { return aNow >= mNotBefore; }

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
