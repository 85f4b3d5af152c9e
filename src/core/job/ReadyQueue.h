#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Job.h"

namespace foxtailbarrow {

/// Jobs that wait for a worker: a FIFO queue per customer and priority. Removal
/// is lazy: an entry whose ticket no longer matches its job is stale and is
/// skipped when it reaches the front.
class ReadyQueue
{
public:
  /// Identifies an entry of the queue. Never 0, never reused.
  using Ticket = std::uint64_t;

  struct QueuedJob
  {
    JobId mJob;
    Ticket mTicket = 0;
  };

  Ticket Push(const CustomerId& aCustomer,
              JobPriority aPriority,
              const JobId& aJob);

  /// Removes the first entry, stale or not; nullopt if the queue is empty.
  std::optional<QueuedJob> Pop(const CustomerId& aCustomer,
                               JobPriority aPriority);

  /// Returns an entry to the front.
  void PushFront(const CustomerId& aCustomer,
                 JobPriority aPriority,
                 QueuedJob aJob);

  /// Customers with entries at that priority, sorted.
  std::vector<CustomerId> Customers(JobPriority aPriority) const;

private:
  using Queue = std::deque<QueuedJob>;
  using Queues = absl::flat_hash_map<CustomerId, Queue>;

  Queues& QueuesOf(JobPriority aPriority);

  Queues mUrgent;
  Queues mNormal;
  Ticket mLastTicket = 0;
};

} // namespace foxtailbarrow
