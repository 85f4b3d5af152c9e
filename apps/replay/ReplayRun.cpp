#include "apps/replay/ReplayRun.h"

#include <chrono>
#include <iostream>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include <boost/fiber/operations.hpp>

#include "apps/replay/JobReplayer.h"
#include "apps/replay/RequestReplayer.h"
#include "apps/replay/StandInAudit.h"
#include "apps/replay/WaitUntilServed.h"
#include "src/core/trace/RequestAudit.h"
#include "src/core/trace/TaskAudit.h"
#include "src/platform/contract/ContractRegistry.h"

namespace foxtailbarrow::replay {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(10);
/// Outstanding work is abandoned after this; longer than a trace's deadlines.
constexpr Duration kDrainTimeout = std::chrono::seconds(30);

/// Unique among replays, as it contains the current time.
std::string RunName()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return absl::StrCat(
    "replay-",
    absl::Hex(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::set<CustomerId> CustomersOf(const Trace& aTrace)
{
  std::set<CustomerId> customers;
  for (const TraceEvent& event : aTrace.mEvents) {
    if (const auto* request = std::get_if<TraceRequest>(&event)) {
      customers.insert(request->mCustomer);
    }
  }
  return customers;
}

} // namespace

ReplayRun::ReplayRun(net::FiberRuntime& aRuntime,
                     const RunSettings& aSettings,
                     const Trace& aTrace,
                     Store* aStore)
  : mRuntime(aRuntime)
  , mSettings(aSettings)
  , mTrace(aTrace)
  , mStore(aStore)
  , mClient(aRuntime)
  , mContext{ mClient, aSettings.mEntries, aSettings.mMaxRetries, RunName() }
{
}

absl::StatusOr<ReplayTotals> ReplayRun::Run()
{
  if (absl::Status prepared = Prepare(); !prepared.ok()) {
    return prepared;
  }
  const Instant start = MonotonicNow();
  mNextProgress = start + mSettings.mProgress;
  SendAll(start);
  const auto& [format, deployment, seed, durationMs, outcomes] = mTrace.mHeader;
  const Instant end = start + std::chrono::milliseconds(durationMs);
  JobReplayer(mContext, mJobs)
    .PollUntilEnded(end + std::chrono::milliseconds(outcomes.mJobsDeadlineMs));
  WaitForAll(MonotonicNow() + kDrainTimeout);
  PrintProgress(start);
  PrintOpenJobs();
  if (mFailedContracts > 0) {
    return absl::UnavailableError("a contract of the trace was not applied");
  }
  ReplayTotals totals = Totals();
  const absl::Status audited = Audit(totals);
  return audited.ok() ? absl::StatusOr<ReplayTotals>(totals) : audited;
}

absl::Status ReplayRun::Prepare()
{
  for (const TraceEvent& event : mTrace.mEvents) {
    const auto* contract = std::get_if<TraceContract>(&event);
    if (contract == nullptr || contract->mAtMs > 0) {
      continue;
    }
    if (absl::Status applied = ApplyContract(*contract); !applied.ok()) {
      return applied;
    }
  }
  return WaitUntilServed(
    mContext, CustomersOf(mTrace), mSettings.mReadyTimeout);
}

void ReplayRun::SendAll(Instant aStart)
{
  for (std::size_t i = 0; i < mTrace.mEvents.size(); ++i) {
    const TraceEvent& event = mTrace.mEvents[i];
    const Instant due = aStart + std::chrono::milliseconds(AtMs(event));
    boost::this_fiber::sleep_until(due);
    if (MonotonicNow() >= mNextProgress) {
      PrintProgress(aStart);
      Spawn(i, [this] { JobReplayer(mContext, mJobs).PollOpenJobs(); });
    }
    Dispatch(event, i, due);
  }
}

void ReplayRun::Dispatch(const TraceEvent& aEvent,
                         std::size_t aIndex,
                         Instant aDue)
{
  if (const auto* request = std::get_if<TraceRequest>(&aEvent)) {
    mRequests.OnDue();
    Spawn(aIndex, [this, request, aIndex, aDue] {
      RequestReplayer(mContext, mRequests).Replay(*request, aIndex, aDue);
    });
  } else if (const auto* job = std::get_if<TraceJob>(&aEvent)) {
    Spawn(aIndex, [this, job] { JobReplayer(mContext, mJobs).Submit(*job); });
  } else if (const auto* cancel = std::get_if<TraceCancel>(&aEvent)) {
    Spawn(aIndex,
          [this, cancel] { JobReplayer(mContext, mJobs).Cancel(*cancel); });
  } else if (const auto* contract = std::get_if<TraceContract>(&aEvent);
             contract->mAtMs > 0) {
    Spawn(aIndex, [this, contract] {
      mFailedContracts += ApplyContract(*contract).ok() ? 0 : 1;
    });
  }
}

void ReplayRun::Spawn(std::size_t aIndex, std::function<void()> aBody)
{
  ++mActiveFibers;
  const auto thread = static_cast<unsigned>(aIndex % mRuntime.Threads());
  mRuntime.SpawnOn(thread, [this, body = std::move(aBody)] {
    body();
    --mActiveFibers;
  });
}

absl::Status ReplayRun::ApplyContract(const TraceContract& aLine)
{
  const ContractOutcome outcome =
    ContractRegistry(*mStore).Apply(aLine.mContract, std::nullopt);
  if (!std::holds_alternative<ContractWritten>(outcome) &&
      !std::holds_alternative<ContractUnchanged>(outcome)) {
    return absl::UnavailableError(absl::StrCat(
      "contract of ", aLine.mContract.mCustomer.Value(), " was not applied"));
  }
  ++mContracts;
  return absl::OkStatus();
}

void ReplayRun::WaitForAll(Instant aUntil)
{
  while (mActiveFibers > 0 && MonotonicNow() < aUntil) {
    boost::this_fiber::sleep_for(kPollInterval);
  }
}

absl::Status ReplayRun::Audit(ReplayTotals& aTotals)
{
  if (mSettings.mBackends.empty() || mSettings.mWorkers.empty()) {
    return absl::OkStatus();
  }
  const absl::StatusOr<ExecutionCounts> executions =
    ReadExecutions(mClient, mSettings.mBackends);
  if (!executions.ok()) {
    return executions.status();
  }
  const absl::StatusOr<WorkerRecords> workers =
    ReadWorkers(mClient, mSettings.mWorkers);
  if (!workers.ok()) {
    return workers.status();
  }
  const RequestAudit audit = AuditRequests(mRequests.Requests(), *executions);
  aTotals.mAudited = true;
  aTotals.mRanDespiteNotRun = audit.mRanDespiteNotRun;
  aTotals.mLostRequests = audit.mLost;
  aTotals.mRepeatedRequests = audit.mRepeated;
  aTotals.mOvercommitted = workers->mOvercommitted;
  for (const std::string& job : FindOverlappingJobs(workers->mRuns)) {
    std::cerr << "overlapping runs of job " << job << "\n";
    ++aTotals.mOverlappingJobs;
  }
  return absl::OkStatus();
}

ReplayTotals ReplayRun::Totals() const
{
  ReplayTotals totals;
  mRequests.AddTo(totals);
  // Requests still in progress were not answered.
  totals.mUnanswered += mRequests.InProgress();
  mJobs.AddTo(totals);
  totals.mContracts = mContracts;
  return totals;
}

void ReplayRun::PrintProgress(Instant aStart)
{
  mNextProgress = MonotonicNow() + mSettings.mProgress;
  const ReplayTotals totals = Totals();
  std::cerr << absl::StreamFormat(
    "%.1f s of %.1f s: %d requests, %d answered, %d under way, %d told not "
    "run, %d wrong; %d jobs accepted, %d ended as stated\n",
    Seconds(MonotonicNow() - aStart),
    static_cast<double>(mTrace.mHeader.mDurationMs) / 1000.0,
    totals.mRequests,
    totals.mAnswered,
    mRequests.InProgress(),
    totals.mNotRun,
    totals.mWrongAnswers,
    totals.mJobs,
    totals.mJobsAsExpected);
}

void ReplayRun::PrintOpenJobs() const
{
  for (const ReplayedJob& job : mJobs.Open()) {
    std::cerr << "not in the expected end state: job " << job.mLineId.Value()
              << ", id " << job.mId << ", "
              << (job.mState ? ToString(*job.mState) : "never polled")
              << " instead of " << ToString(job.mExpectedEnd) << ", reason "
              << (job.mReason.empty() ? "none" : job.mReason) << "\n";
  }
}

} // namespace foxtailbarrow::replay
