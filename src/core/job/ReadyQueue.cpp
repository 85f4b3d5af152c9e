#include "src/core/job/ReadyQueue.h"

#include <algorithm>

namespace foxtailbarrow {

ReadyQueue::Queues& ReadyQueue::QueuesOf(JobPriority aPriority)
{
  return aPriority == JobPriority::Urgent ? mUrgent : mNormal;
}

ReadyQueue::Ticket ReadyQueue::Push(const CustomerId& aCustomer,
                                    JobPriority aPriority,
                                    const JobId& aJob)
{
  QueuesOf(aPriority)[aCustomer].push_back({ aJob, ++mLastTicket });
  return mLastTicket;
}

std::optional<ReadyQueue::QueuedJob> ReadyQueue::Pop(
  const CustomerId& aCustomer,
  JobPriority aPriority)
{
  Queues& queues = QueuesOf(aPriority);
  const auto found = queues.find(aCustomer);
  if (found == queues.end()) {
    return std::nullopt;
  }
  QueuedJob front = std::move(found->second.front());
  found->second.pop_front();
  if (found->second.empty()) {
    queues.erase(found);
  }
  return front;
}

void ReadyQueue::PushFront(const CustomerId& aCustomer,
                           JobPriority aPriority,
                           QueuedJob aJob)
{
  QueuesOf(aPriority)[aCustomer].push_front(std::move(aJob));
}

std::vector<CustomerId> ReadyQueue::Customers(JobPriority aPriority) const
{
  const Queues& queues = aPriority == JobPriority::Urgent ? mUrgent : mNormal;
  std::vector<CustomerId> customers;
  customers.reserve(queues.size());
  for (const auto& [customer, queue] : queues) {
    customers.push_back(customer);
  }
  std::ranges::sort(customers);
  return customers;
}

} // namespace foxtailbarrow
