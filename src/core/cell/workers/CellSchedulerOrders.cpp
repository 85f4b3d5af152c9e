#include <algorithm>
#include <iterator>
#include <utility>

#include "src/core/cell/CellScheduler.h"

/// Builds and hands out the orders for agents.
namespace foxtailbarrow::cell {

namespace {

/// All members of a gang resume from one checkpoint; any member's is valid.
std::string GangCheckpoint(const StepEntry& aGang)
{
  const auto saved =
    std::ranges::find_if(aGang.Touched(), [](const auto& aMember) {
      return !aMember.second.mCheckpoint.empty();
    });
  return saved == aGang.Touched().end() ? std::string()
                                        : saved->second.mCheckpoint;
}

} // namespace

std::size_t MemoryOf(const StartOrder& aOrder)
{
  return sizeof(StartOrder) + aOrder.mPayload.size() +
         aOrder.mCheckpoint.size() + aOrder.mTicket.size() +
         aOrder.mImage.size();
}

StartOrder CellScheduler::OrderFor(const JobEntry& aJob,
                                   const TaskRef& aTask,
                                   RunNumber aRun,
                                   const WorkerEntry& aWorker,
                                   Instant aNow) const
{
  const StepSpec& spec = aJob.Spec(aTask);
  const std::size_t step = static_cast<std::size_t>(aTask.mStep);
  const StepEntry& entry = aJob.mOpen.at(aTask.mOccurrence).mSteps[step];
  const std::string* ticket =
    entry.mAdvice.Ticket(aWorker.mInfo.mIncarnation, aNow);
  return { .mTask = aTask,
           .mRun = aRun,
           .mPayload = aJob.Graph().mPayload,
           .mCheckpoint = spec.mGang ? GangCheckpoint(entry)
                                     : entry.Task(aTask.mIndex).mCheckpoint,
           .mTicket = ticket == nullptr ? std::string() : *ticket,
           .mLatencyTarget = spec.mLatencyTarget,
           .mBestEffort = spec.mBestEffort,
           .mImage = spec.mImage,
           .mReserved = Reservation(spec) };
}

TaskRun* CellScheduler::FindRun(const AgentId& aAgent, const StartOrder& aOrder)
{
  const auto job = mJobs.find(aOrder.mTask.mJob);
  return job == mJobs.end()
           ? nullptr
           : job->second.FindRun(aOrder.mTask, aAgent, aOrder.mRun);
}

void CellScheduler::WithdrawStart(const AgentId& aAgent,
                                  const TaskRef& aTask,
                                  RunNumber aRun)
{
  if (const auto orders = mOrders.find(aAgent); orders != mOrders.end()) {
    std::erase_if(orders->second.mStarts, [&](const StartOrder& aStart) {
      return aStart.mTask == aTask && aStart.mRun == aRun;
    });
    UpdateUnsentBytes(aAgent);
  }
}

/// Moves the first starts to `aOrders`, as many as one message may have.
void CellScheduler::TakeStarts(std::vector<StartOrder>& aPending,
                               OrderRequest& aOrders)
{
  std::size_t bytes = 0;
  auto end = aPending.begin();
  while (end != aPending.end() && bytes < CellLimits::kOrderBytes) {
    bytes += MemoryOf(*end++);
  }
  aOrders.mStarts.assign(std::make_move_iterator(aPending.begin()),
                         std::make_move_iterator(end));
  aPending.erase(aPending.begin(), end);
}

/// Counts the starts that wait for the agent again, after some were removed.
void CellScheduler::UpdateUnsentBytes(const AgentId& aAgent)
{
  const auto worker = mWorkers.find(aAgent);
  if (worker == mWorkers.end()) {
    return;
  }
  worker->second.mUnsentBytes = 0;
  if (const auto found = mOrders.find(aAgent); found != mOrders.end()) {
    for (const StartOrder& start : found->second.mStarts) {
      worker->second.mUnsentBytes += MemoryOf(start);
    }
  }
}

std::vector<AgentId> CellScheduler::AgentsWithOrders() const
{
  std::vector<AgentId> agents;
  for (const auto& [agent, orders] : mOrders) {
    if (!orders.mStarts.empty() || !orders.mStops.empty() ||
        !orders.mMetadata.empty()) {
      agents.push_back(agent);
    }
  }
  return agents;
}

std::optional<Instant> CellScheduler::OrderedAt(const OrderRequest& aOrders)
{
  if (aOrders.mStarts.empty()) {
    return std::nullopt;
  }
  const StartOrder& first = aOrders.mStarts.front();
  const auto job = mJobs.find(first.mTask.mJob);
  const TaskEntry* task =
    job == mJobs.end() ? nullptr : job->second.Find(first.mTask);
  return task == nullptr || task->mRuns.empty()
           ? std::nullopt
           : std::optional(task->mRuns.back().mOrderedAt);
}

OrderRequest CellScheduler::TakeOrders(const AgentId& aAgent)
{
  OrderRequest orders;
  if (const auto found = mOrders.find(aAgent); found != mOrders.end()) {
    orders.mStops = std::exchange(found->second.mStops, {});
    orders.mMetadata = std::exchange(found->second.mMetadata, {});
    TakeStarts(found->second.mStarts, orders);
    if (found->second.mStarts.empty()) {
      mOrders.erase(found);
    }
    UpdateUnsentBytes(aAgent);
  }
  if (const auto worker = mWorkers.find(aAgent); worker != mWorkers.end()) {
    orders.mSession = worker->second.mSession;
    orders.mNumber = ++worker->second.mLastOrder;
    orders.mIncarnation = worker->second.mInfo.mIncarnation;
  }
  for (const StartOrder& start : orders.mStarts) {
    if (TaskRun* run = FindRun(aAgent, start)) {
      run->mSent = true;
      run->mOrderNumber = orders.mNumber;
      RecordStart(mJobs.at(start.mTask.mJob), start.mTask, *run);
    }
  }
  return orders;
}

} // namespace foxtailbarrow::cell
