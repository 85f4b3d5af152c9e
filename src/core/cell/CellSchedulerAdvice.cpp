#include <algorithm>

#include "src/core/cell/Candidate.h"

namespace foxtailbarrow::cell {

namespace {

/// Workers asked about at a time: the service takes 100 at most, and each makes
/// the answer later.
constexpr std::size_t kMaxWorkersPerQuery = 30;
/// On top of the time that the service says it takes.
constexpr Duration kAdviceSlack = std::chrono::milliseconds(1000);
/// After a question without an answer.
constexpr Duration kQueryRetryDelay = std::chrono::milliseconds(200);

} // namespace

/// Workers that might run the step and of which the service has not said no,
/// without a ticket; those with most room first.
std::vector<WorkerIncarnation> CellScheduler::WorkersToQuery(
  JobEntry& aJob,
  const TaskRef& aStep,
  Instant aNow) const
{
  const StepAdvice& advice = aJob.StepOf(aStep).mAdvice;
  std::vector<const WorkerEntry*> open;
  for (const auto& [id, worker] : mWorkers) {
    const WorkerIncarnation& incarnation = worker.mInfo.mIncarnation;
    if (worker.mLink == WorkerLink::Attached && worker.mAnswers &&
        CouldRun(worker, aJob, aStep) && !advice.Denied(incarnation) &&
        advice.Ticket(incarnation, aNow) == nullptr) {
      open.push_back(&worker);
    }
  }
  std::ranges::stable_sort(open, {}, [](const WorkerEntry* aWorker) {
    return aWorker->mUse.mReserved.mMillicores;
  });
  std::vector<WorkerIncarnation> workers;
  for (const WorkerEntry* worker : open) {
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
    const auto asked = static_cast<Duration::rep>(query.mWorkers.size());
    query.mTimeout =
      policy->mDecisionTime + policy->mTimePerWorker * asked + kAdviceSlack;
    return query;
  }
  return std::nullopt;
}

void CellScheduler::OnAdvice(const AdviceQuery& aQuery,
                             const std::optional<AdviceReply>& aReply,
                             const CellClock& aClock)
{
  const auto found = mJobs.find(aQuery.mStep.mJob);
  if (found == mJobs.end()) {
    return;
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
