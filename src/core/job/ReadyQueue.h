#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Job.h"

namespace foxtailbarrow {

/// Jobs that wait for a worker, by customer and priority, first come first
/// served within each. Removal is by ticket: a job taken off keeps a dead
/// place, which is dropped when it comes to the front.
class ReadyQueue
{
public:
  /// A place in the queue. Never 0, never used twice.
  using Ticket = std::uint64_t;

  struct Place
  {
    JobId mJob;
    Ticket mTicket = 0;
  };

  Ticket Push(const CustomerId& aCustomer,
              JobPriority aPriority,
              const JobId& aJob);

  /// Takes the first place, dead or alive; nullopt when there is none.
  std::optional<Place> Pop(const CustomerId& aCustomer, JobPriority aPriority);

  /// Puts a place back at the front.
  void PushFront(const CustomerId& aCustomer,
                 JobPriority aPriority,
                 Place aPlace);

  /// Customers with places at that priority, sorted.
  std::vector<CustomerId> Customers(JobPriority aPriority) const;

private:
  using Places = std::deque<Place>;
  using Queues = absl::flat_hash_map<CustomerId, Places>;

  Queues& QueuesOf(JobPriority aPriority);

  Queues mUrgent;
  Queues mNormal;
  Ticket mLastTicket = 0;
};

} // namespace foxtailbarrow
