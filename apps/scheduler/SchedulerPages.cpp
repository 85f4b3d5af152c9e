#include <algorithm>
#include <chrono>

#include "apps/scheduler/RequestText.h"
#include "apps/scheduler/Scheduler.h"
#include "src/core/cell/JobForward.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

void Scheduler::AddMethods()
{
  AddCordonMethod();
  net::AddTyped<ReportRequest>(
    mDispatcher, kReportMethod, [this](const ReportRequest& aRequest) {
      if (const auto owner = mElection.Owner()) {
        return owner->OnReport(aRequest);
      }
      ReportReply reply;
      reply.mGeneration = mElection.KnownGeneration();
      if (const auto at = mElection.OwnerAt(); at && *at != mSettings.mPeers) {
        reply.mOwnerAt.push_back(*at);
      }
      return reply;
    });
  net::AddTyped<FindOwner>(
    mDispatcher, kFindOwnerMethod, [this](const FindOwner&) {
      FindOwnerReply reply;
      reply.mGeneration = mElection.KnownGeneration();
      if (const auto at = mElection.OwnerAt()) {
        reply.mOwnerAt.push_back(*at);
      }
      return reply;
    });
  net::AddTyped<QueryJob>(
    mDispatcher, kQueryJobMethod, [this](const QueryJob& aRequest) {
      QueryJobReply reply;
      if (const auto owner = mElection.Owner()) {
        reply.mOwner = true;
        const auto phase = owner->PhaseNow(aRequest.mJob);
        reply.mKnown = phase.has_value();
        reply.mPhase = phase.value_or(JobPhase::Queued);
      }
      return reply;
    });
  net::AddTyped<QueryWaiting>(
    mDispatcher, kQueryWaitingMethod, [this](const QueryWaiting& aRequest) {
      QueryWaitingReply reply;
      if (const auto owner = mElection.Owner(); owner && owner->Current()) {
        reply.mOwner = true;
        reply.mWaiting = owner->Logic().WaitingJobs(aRequest.mQueue);
      }
      return reply;
    });
  net::AddTyped<ForwardedRequest>(
    mDispatcher, kForwardMethod, [this](const ForwardedRequest& aRequest) {
      const JobAnswer answer = mJobs.AnswerHere(FromForwarded(aRequest));
      LogChange("forwarded-request",
                { { "kind", ToString(aRequest.mKind) },
                  { "job",
                    aRequest.mGraph.empty() ? aRequest.mJob
                                            : aRequest.mGraph.front().mId },
                  { "outcome", OutcomeOf(answer) } });
      ForwardedReply reply = ToForwarded(answer);
      reply.mGeneration = mElection.KnownGeneration();
      return reply;
    });
  net::AddTyped<RecordChanged>(
    mDispatcher, kRecordChangedMethod, [this](const RecordChanged& aRequest) {
      if (const auto owner = mElection.Owner()) {
        owner->OnRecordChanged(aRequest.mJob);
        return RecordChangedReply{ !owner->Logic().AcceptsJobs() };
      }
      return RecordChangedReply{};
    });
  net::AddTyped<QueryAcceptance>(
    mDispatcher, kQueryAcceptanceMethod, [this](const QueryAcceptance&) {
      const auto owner = mElection.Owner();
      return QueryAcceptanceReply{
        owner != nullptr, owner != nullptr && owner->Logic().AcceptsJobs()
      };
    });
}

void Scheduler::AddCordonMethod()
{
  net::AddTyped<CordonRows>(
    mDispatcher, kCordonRowsMethod, [this](const CordonRows& aRequest) {
      mConfiguration.MergeCordons(aRequest.mRows);
      return CordonRowsReply{ mElection.Owner() != nullptr };
    });
}

/// Metrics with the values of the `owner-load` log line.
void Scheduler::AddLoadMetrics()
{
  const auto load = [this] {
    const auto owner = mElection.Owner();
    return owner ? owner->LastLoad() : OwnerLoadSummary{};
  };
  for (std::size_t i = 0; i < kOwnerWorks; ++i) {
    const auto work = static_cast<OwnerWork>(i);
    mMetrics.SampledGauge(
      "owner_work_seconds",
      "Processor time by kind of work in the last second of owning the cell.",
      [load, work] {
        return std::chrono::duration<double>(load().Spent(work)).count();
      },
      { { "kind", std::string(ToString(work)) } });
  }
  for (std::size_t i = 0; i < kOwnerWaits; ++i) {
    const auto wait = static_cast<OwnerWait>(i);
    mMetrics.SampledGauge(
      "owner_wait_seconds",
      "Longest wait by kind in the last second of owning the cell.",
      [load, wait] {
        return std::chrono::duration<double>(load().Longest(wait)).count();
      },
      { { "kind", std::string(ToString(wait)) } });
  }
  mMetrics.SampledGauge(
    "owner_rounds_put_off", "Placement rounds that were deferred.", [load] {
      return static_cast<double>(load().mRoundsDeferred);
    });
}

/// Metrics of worker crashes.
void Scheduler::AddCrashMetrics()
{
  mMetrics.SampledGauge(
    "owner_workers_crashed", "Worker crashes reported in this term.", [this] {
      const auto owner = mElection.Owner();
      return owner ? static_cast<double>(owner->Logic().Crashes().mWorkers)
                   : 0.0;
    });
  mMetrics.SampledGauge(
    "owner_trials", "Suspect tasks that were started recently.", [this] {
      const auto owner = mElection.Owner();
      return owner ? static_cast<double>(owner->Logic().Trials()) : 0.0;
    });
}

/// Adds the metrics of worker crashes attributed to tasks, for each queue that
/// is new in the configuration.
void Scheduler::AddQueueMetrics(const CellConfiguration& aConfiguration)
{
  for (const QueueRoute& route : aConfiguration.mRoutes) {
    const QueueId& queue = route.mPolicy.mQueue;
    if (!mMeasuredQueues.insert(queue).second) {
      continue;
    }
    const auto addCounter =
      [this, &queue](const char* aName,
                     const char* aHelp,
                     std::uint64_t QueueCrashCounters::*aCounter) {
        mMetrics.SampledGauge(
          aName,
          aHelp,
          [this, queue, aCounter] {
            const auto owner = mElection.Owner();
            return owner ? static_cast<double>(
                             owner->Logic().Crashes().Of(queue).*aCounter)
                         : 0.0;
          },
          { { "queue", queue.Value() } });
      };
    addCounter("owner_tasks_suspected",
               "Times that a crash was counted against a task.",
               &QueueCrashCounters::mSuspected);
    addCounter("owner_tasks_cleared",
               "Suspect tasks that were cleared by a run.",
               &QueueCrashCounters::mCleared);
    addCounter("owner_tasks_given_up",
               "Jobs failed because of a task that crashed workers.",
               &QueueCrashCounters::mGivenUp);
  }
}

/// Metrics and state of the failure domains in which nothing may start.
void Scheduler::AddCordonViews()
{
  mMetrics.SampledGauge(
    "domains_cordoned",
    "Failure domains in which the operator wants no task started.",
    [this] {
      return static_cast<double>(mConfiguration.Cordons().Cordoned().size());
    });
  mMetrics.SampledGauge(
    "owner_workers_cordoned", "Workers in these failure domains.", [this] {
      const auto owner = mElection.Owner();
      return owner ? static_cast<double>(
                       std::ranges::count_if(owner->Logic().Workers(),
                                             [](const auto& aWorker) {
                                               return aWorker.second.mCordoned;
                                             }))
                   : 0.0;
    });
  mState.Add("cordons", [this] {
    return ToJson(CordonRows{ mConfiguration.Cordons().Rows() });
  });
}

void Scheduler::AddViews()
{
  AddProcessMetrics(mMetrics);
  AddLoadMetrics();
  mMetrics.SampledGauge("cell_owner",
                        "1 while this process owns the cell.",
                        [this] { return mElection.Owner() ? 1.0 : 0.0; });
  mMetrics.SampledGauge(
    "cell_generation", "Newest known generation of the cell.", [this] {
      return static_cast<double>(mElection.KnownGeneration());
    });
  const auto addCounter = [this](const char* aName,
                                 const char* aHelp,
                                 std::uint64_t OwnerCounters::*aCounter) {
    mMetrics.SampledGauge(aName, aHelp, [this, aCounter] {
      const auto owner = mElection.Owner();
      return owner ? static_cast<double>(owner->Counters().*aCounter) : 0.0;
    });
  };
  addCounter("owner_reports",
             "Reports received in this term.",
             &OwnerCounters::mReports);
  addCounter(
    "owner_orders", "Orders sent in this term.", &OwnerCounters::mOrders);
  addCounter(
    "owner_starts", "Tasks started in this term.", &OwnerCounters::mStarts);
  addCounter(
    "owner_records", "Progress writes in this term.", &OwnerCounters::mSaves);
  addCounter("owner_entries_unreadable",
             "Unreadable store entries skipped in this term.",
             &OwnerCounters::mUnreadable);
  AddCrashMetrics();
  AddCordonViews();
  mMetrics.SampledGauge("jobs_known", "Jobs known to the owner.", [this] {
    const auto owner = mElection.Owner();
    return owner ? static_cast<double>(owner->Logic().Jobs().size()) : 0.0;
  });
  mMetrics.SampledGauge("log_lines_dropped",
                        "Log lines dropped by the rate and buffer limits.",
                        [] { return static_cast<double>(DroppedLogLines()); });
  mState.Add("cell", [this] {
    FindOwnerReply view;
    view.mGeneration = mElection.KnownGeneration();
    if (const auto at = mElection.OwnerAt()) {
      view.mOwnerAt.push_back(*at);
    }
    return ToJson(view);
  });
}

} // namespace foxtailbarrow::scheduler
