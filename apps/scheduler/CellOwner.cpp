#include "apps/scheduler/CellOwner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"
#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/ProcessMetrics.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Longest pause between two placement rounds.
constexpr Duration kMaxRoundPause = std::chrono::milliseconds(50);
constexpr Duration kStoreRetry = std::chrono::milliseconds(100);

} // namespace

CellOwner::CellOwner(Parts aParts,
                     OwnerTerm aTerm,
                     CellSettings aSettings,
                     const std::vector<QueuePolicy>& aQueues,
                     const CordonTable& aCordons)
  : mParts(std::move(aParts))
  , mTerm(aTerm)
  , mSettings(aSettings)
  , mLogic(aTerm.OwnGeneration(),
           aSettings,
           [this](const CellDecision& aDecision) { LogDecision(aDecision); })
{
  mLogic.OnOwnershipConfirmed(mTerm.ConfirmedAt());
  ApplyQueues(aQueues);
  mLogic.SetCordonedDomains(aCordons.Cordoned(), Clock());
}

void CellOwner::LogDecision(const CellDecision& aDecision)
{
  const Instant begin = MonotonicNow();
  LogChange(aDecision.mEvent,
            { { "job", aDecision.mJob },
              { "task", aDecision.mTask },
              { "agent", aDecision.mAgent },
              { "run", aDecision.mRun },
              { "reason", aDecision.mReason },
              { "ms", aDecision.mAgeMs } });
  mLoad.RecordWork(OwnerWork::Logs, MonotonicNow() - begin);
}

void CellOwner::ApplyQueues(const std::vector<QueuePolicy>& aQueues)
{
  mAdviceWanted = std::ranges::any_of(aQueues, [](const QueuePolicy& aQueue) {
    return aQueue.mAdvice.has_value();
  });
  mLogic.SetQueues(aQueues);
}

/// Returns nullopt for an unreadable entry, which is skipped and not changed.
template<typename Record>
std::optional<Record> CellOwner::ReadEntry(const StoreEntry& aEntry)
{
  auto record = FromJsonText<Record>(aEntry.mValue);
  if (!record.ok()) {
    LogUnreadable(aEntry, record.status().ToString());
    return std::nullopt;
  }
  return *std::move(record);
}

/// Returns nullopt for a tombstone as well.
std::optional<StoredJob> CellOwner::ReadJob(const StoreEntry& aEntry)
{
  auto job = ReadEntry<StoredJob>(aEntry);
  if (job && job->mGraph.mId.Value() != KeyName(aEntry.mKey, kJobPrefix)) {
    LogUnreadable(aEntry, "the job ID does not match the key");
    return std::nullopt;
  }
  if (!job || IsTombstone(*job)) {
    return std::nullopt;
  }
  if (const absl::Status valid = CheckGraph(job->mGraph); !valid.ok()) {
    LogUnreadable(aEntry, valid.ToString());
    return std::nullopt;
  }
  return job;
}

void CellOwner::LogUnreadable(const StoreEntry& aEntry,
                              std::string_view aReason)
{
  // A listing shows the same entry again.
  if (std::exchange(mUnreadableEntries[aEntry.mKey], aEntry.mModRevision) ==
      aEntry.mModRevision) {
    return;
  }
  ++mCounters.mUnreadable;
  LogError("entry-unreadable",
           { { "key", aEntry.mKey },
             { "revision", aEntry.mModRevision },
             { "error", aReason } });
}

CellClock CellOwner::Clock() const
{
  return { MonotonicNow(), UnixMsNow() };
}

StoreCompare CellOwner::CellUnchanged() const
{
  return { std::string(kCellKey), mTerm.CellRevision() };
}

absl::Status CellOwner::Load()
{
  if (absl::Status status = mParts.mReadOperator(); !status.ok()) {
    return status;
  }
  if (absl::Status status = LoadJobs(); !status.ok()) {
    return status;
  }
  if (absl::Status status = LoadAgents(); !status.ok()) {
    return status;
  }
  mLoaded = true;
  LogChange("cell-owned",
            { { "generation", mTerm.OwnGeneration() },
              { "jobs", mLogic.Jobs().size() },
              { "agents", mAgentLinks.size() } });
  Spawn(&CellOwner::RunJobWatch);
  Spawn(&CellOwner::RunSchedule);
  Spawn(&CellOwner::RunProgressSaves);
  Spawn(&CellOwner::RunCleanup);
  Spawn(&CellOwner::RunLearnedSaves);
  Spawn(&CellOwner::RunAdvice);
  return absl::OkStatus();
}

absl::Status CellOwner::LoadJobs()
{
  std::map<JobId, std::pair<StoredProgress, Revision>> known;
  const auto progress =
    mParts.mStore.ListEach(kProgressPrefix, [&](const StoreEntry& aEntry) {
      const JobId job{ std::string(KeyName(aEntry.mKey, kProgressPrefix)) };
      if (auto record = ReadEntry<StoredProgress>(aEntry)) {
        known[job] = { *std::move(record), aEntry.mModRevision };
      } else {
        mUnreadableJobs.insert(job);
      }
    });
  if (!progress.ok()) {
    return progress.status();
  }
  const auto jobs =
    mParts.mStore.ListEach(kJobPrefix, [&](const StoreEntry& aEntry) {
      const auto record = ReadJob(aEntry);
      if (!record || mUnreadableJobs.contains(record->mGraph.mId)) {
        return;
      }
      const auto state = known.extract(record->mGraph.mId);
      const auto& [saved, revision] =
        state.empty() ? std::pair<StoredProgress, Revision>() : state.mapped();
      mLogic.AddJob(*record, saved, revision, Clock());
    });
  if (!jobs.ok()) {
    return jobs.status();
  }
  mJobsFrom = *jobs;
  return absl::OkStatus();
}

absl::Status CellOwner::LoadAgents()
{
  const auto agents = mParts.mStore.List(kAgentPrefix);
  if (!agents.ok()) {
    return agents.status();
  }
  std::vector<ExpectedAgent> expected;
  for (const StoreEntry& entry : agents->mEntries) {
    const AgentId id{ std::string(KeyName(entry.mKey, kAgentPrefix)) };
    // Any task may run there if its record is unreadable.
    ExpectedAgent& agent = expected.emplace_back(ExpectedAgent{ id });
    if (auto contact = ReadEntry<AgentContact>(entry)) {
      AgentLink& link = AgentLinkOf(id, contact->mEndpoint);
      link.mSaved = true;
      link.mRecordRevision = entry.mModRevision;
      link.mRecordClosed = contact->mClosed;
      link.mClosedTasks = contact->mTasks;
      agent.mRecordClosed = contact->mClosed;
      agent.mTasks = std::move(contact->mTasks);
    }
  }
  mLogic.ExpectAgents(std::move(expected), EarlierLeasesEnd());
  return absl::OkStatus();
}

/// When all leases that earlier owners granted are over.
Instant CellOwner::EarlierLeasesEnd()
{
  Revision learnedRevision = 0;
  if (mTerm.Before().mEnded) {
    const auto learned = mParts.mStore.Read(kLearnedKey);
    learnedRevision = learned.ok() ? learned->mModRevision : 0;
  }
  return cell::EarlierLeasesEnd(
    mTerm.Before(), learnedRevision, mSettings, MonotonicNow());
}

void CellOwner::End()
{
  if (std::exchange(mEnded, true)) {
    return;
  }
  LogChange("cell-released", { { "generation", mTerm.OwnGeneration() } });
  mScheduleWaker.Wake();
  mSaveWaker.Wake();
  for (auto& [agent, link] : mAgentLinks) {
    link->mWaker.Wake();
  }
}

std::optional<JobPhase> CellOwner::PhaseNow(const JobId& aJob) const
{
  const auto phase = mLogic.PhaseOf(aJob);
  const bool certain =
    mTerm.IsSole(MonotonicNow()) || (phase && IsFinal(*phase));
  return certain ? phase : std::nullopt;
}

std::optional<JobPhase> CellOwner::LastKnownPhase(const JobId& aJob) const
{
  return Current() ? mLogic.PhaseOf(aJob) : std::nullopt;
}

void CellOwner::SetQueues(const std::vector<QueuePolicy>& aQueues)
{
  ApplyQueues(aQueues);
  mScheduleWaker.Wake();
}

void CellOwner::Spawn(void (CellOwner::*aBody)())
{
  mParts.mRuntime.Spawn(
    [self = shared_from_this(), aBody] { ((*self).*aBody)(); });
}

void CellOwner::RunJobWatch()
{
  while (!mEnded) {
    const absl::Status ended = mParts.mStore.Watch(
      kJobPrefix, mJobsFrom, [this](const std::vector<StoreEvent>& aEvents) {
        for (const StoreEvent& event : aEvents) {
          OnJobEvent(event);
        }
        return !mEnded;
      });
    if (mEnded) {
      return;
    }
    LogDebug("job-watch-ended", { { "error", ended.ToString() } });
    boost::this_fiber::sleep_for(kStoreRetry);
    // The list has what the watch missed. Known jobs keep their state.
    const Revision from = mJobsFrom;
    const auto jobs =
      mParts.mStore.ListEach(kJobPrefix, [this](StoreEntry aEntry) {
        OnJobEvent(
          { aEntry.mKey, std::move(aEntry.mValue), aEntry.mModRevision });
      });
    // After an incomplete list the watch has to repeat what it left out.
    mJobsFrom = jobs.ok() ? *jobs : from;
  }
}

void CellOwner::OnJobEvent(const StoreEvent& aEvent)
{
  mJobsFrom = std::max(mJobsFrom, aEvent.mModRevision);
  if (!aEvent.mValue) {
    return; // Deleted by this owner after the job ended.
  }
  if (const auto job =
        ReadJob({ aEvent.mKey, *aEvent.mValue, aEvent.mModRevision })) {
    OnRecordChanged(*job);
  }
}

void CellOwner::OnRecordChanged(const StoredJob& aJob)
{
  if (mUnreadableJobs.contains(aJob.mGraph.mId) ||
      (!IsTombstone(aJob) && !CheckGraph(aJob.mGraph).ok())) {
    return;
  }
  mLogic.AddJob(aJob, {}, 0, Clock());
  mScheduleWaker.Wake();
  mSaveWaker.Wake();
}

void CellOwner::RunSchedule()
{
  while (!mEnded) {
    mScheduleWaker.Wait(kMaxRoundPause);
    const Instant due = MonotonicNow() + mPacing.Pause();
    if (mPacing.Stretched()) {
      mLoad.RecordDeferredRound();
    }
    boost::this_fiber::sleep_for(mPacing.Pause());
    if (mEnded) {
      return;
    }
    mLoad.RecordWait(OwnerWait::Loop, MonotonicNow() - due);
    RunRound();
    LogLoad();
  }
}

void CellOwner::RunRound()
{
  const Instant begin = MonotonicNow();
  mLogic.Schedule(Clock());
  const Duration took = MonotonicNow() - begin;
  mPacing.RecordRound(took);
  mLoad.RecordRound(took);
  for (const AgentId& agent : mLogic.AgentsWithOrders()) {
    if (const auto link = mAgentLinks.find(agent); link != mAgentLinks.end()) {
      link->second->mWaker.Wake();
    }
  }
  if (mLogic.HasUnsavedJobs()) {
    mSaveWaker.Wake();
  }
}

/// Logs once a second how long others wait for the owner and what it spends its
/// processor time on, so that an overloaded owner is visible.
void CellOwner::LogLoad()
{
  const Instant now = MonotonicNow();
  const Duration text = mParts.mTextTime();
  mLoad.RecordWork(OwnerWork::Text,
                   text - std::exchange(mTextTimeBefore, text));
  const auto summary = mLoad.TakeSummary(now, ProcessorTime());
  if (!summary) {
    return;
  }
  mLastLoad = *summary;
  const auto longestRound =
    std::chrono::duration_cast<std::chrono::microseconds>(
      summary->mLongestRound);
  LogChange("owner-load",
            { { "waitMs", WaitsText(*summary) },
              { "perMille", SharesText(*summary) },
              { "reports", summary->mReports },
              { "rounds", summary->mRounds },
              { "roundsPutOff", summary->mRoundsDeferred },
              { "longestRoundUs", longestRound.count() } });
}

} // namespace foxtailbarrow::scheduler
