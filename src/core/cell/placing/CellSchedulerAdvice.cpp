#include <algorithm>

#include "src/core/cell/placing/Candidate.h"

namespace foxtailbarrow::cell {

namespace {

/// The service accepts at most 100 workers per query, and each one delays the
/// reply.
constexpr std::size_t kMaxWorkersPerQuery = 30;
/// Added to the response time that the service states.
constexpr Duration kAdviceSlack = std::chrono::milliseconds(1000);
/// After a query without a reply.
constexpr Duration kQueryRetryDelay = std::chrono::milliseconds(200);

} // namespace

/// Workers that could run the step, that the service has not denied and that
/// have no ticket; those with the most free capacity first.
std::vector<WorkerIncarnation> CellScheduler::WorkersToQuery(
  JobEntry& aJob,
  const TaskRef& aStep,
  Instant aNow) const
{
  const StepAdvice& advice = aJob.StepOf(aStep).mAdvice;
  std::vector<const WorkerEntry*> eligible;
  for (const auto& [id, worker] : mWorkers) {
    const WorkerIncarnation& incarnation = worker.mInfo.mIncarnation;
    if (worker.mLink == WorkerLink::Attached && worker.mAnswers &&
        LastingBlockOf(worker) == WorkerBlock::None &&
        CouldRun(worker, aJob, aStep) && !advice.Denied(incarnation) &&
        advice.Ticket(incarnation, aNow) == nullptr) {
      eligible.push_back(&worker);
    }
  }
  std::ranges::stable_sort(eligible, {}, [](const WorkerEntry* aWorker) {
    return aWorker->mUse.mReserved.mMillicores;
  });
  std::vector<WorkerIncarnation> workers;
  for (const WorkerEntry* worker : eligible) {
    if (workers.size() == kMaxWorkersPerQuery) {
      break;
    }
    workers.push_back(worker->mInfo.mIncarnation);
  }
  return workers;
}

std::optional<AdviceQuery> CellScheduler::NextAdviceQuery(
  const CellClock& aClock)
{
  for (const Candidate& candidate : SortedCandidates(aClock)) {
    JobEntry& job = mJobs.at(candidate.mFirstTask.mJob);
    const std::optional<AdvicePolicy>& policy = job.mPolicy.mAdvice;
    if (!policy ||
        !job.StepOf(candidate.mFirstTask).mAdvice.MayQuery(aClock.mNow)) {
      continue;
    }
    AdviceQuery query{ candidate.mFirstTask,
                       WorkersToQuery(job, candidate.mFirstTask, aClock.mNow),
                       {} };
    if (query.mWorkers.empty()) {
      continue;
    }
    const auto count = static_cast<Duration::rep>(query.mWorkers.size());
    query.mTimeout =
      policy->mDecisionTime + policy->mTimePerWorker * count + kAdviceSlack;
    return query;
  }
  return std::nullopt;
}

void CellScheduler::OnAdvice(const AdviceQuery& aQuery,
                             const std::optional<AdviceReply>& aReply,
                             const CellClock& aClock)
{
  const auto found = mJobs.find(aQuery.mStep.mJob);
  if (found == mJobs.end() ||
      !found->second.mOpen.contains(aQuery.mStep.mOccurrence)) {
    return; // The step has ended in the meantime.
  }
  StepAdvice& advice = found->second.StepOf(aQuery.mStep).mAdvice;
  LogDecision("advice",
              aQuery.mStep,
              {},
              0,
              !aReply                    ? "no-answer"
              : aReply->mGranted.empty() ? "none-granted"
                                         : "granted",
              static_cast<std::int64_t>(aQuery.mWorkers.size()));
  if (aReply) {
    advice.OnReply(aQuery, *aReply, aClock.mNow);
  } else {
    advice.Defer(aClock.mNow + kQueryRetryDelay);
  }
}

} // namespace foxtailbarrow::cell
