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

std::optional<ReadyQueue::Place> ReadyQueue::Pop(const CustomerId& aCustomer,
                                                 JobPriority aPriority)
{
  Queues& lines = QueuesOf(aPriority);
  const auto found = lines.find(aCustomer);
  if (found == lines.end()) {
    return std::nullopt;
  }
  Place place = std::move(found->second.front());
  found->second.pop_front();
  if (found->second.empty()) {
    lines.erase(found);
  }
  return place;
}

void ReadyQueue::PushFront(const CustomerId& aCustomer,
                           JobPriority aPriority,
                           Place aPlace)
{
  QueuesOf(aPriority)[aCustomer].push_front(std::move(aPlace));
}

std::vector<CustomerId> ReadyQueue::Customers(JobPriority aPriority) const
{
  const Queues& lines = aPriority == JobPriority::Urgent ? mUrgent : mNormal;
  std::vector<CustomerId> customers;
  customers.reserve(lines.size());
  for (const auto& [customer, places] : lines) {
    customers.push_back(customer);
  }
  std::ranges::sort(customers);
  return customers;
}

} // namespace foxtailbarrow
