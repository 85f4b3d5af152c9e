#include "apps/scheduler/CellOwner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Verdict.h"
#include "src/core/cell/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Longest pause between two rounds of placing.
constexpr Duration kTick = std::chrono::milliseconds(50);
/// Events that come within this are decided on together.
constexpr Duration kGather = std::chrono::milliseconds(2);
constexpr Duration kStoreRetry = std::chrono::milliseconds(100);
/// Ends that come within this are recorded by one transaction: at 60 ends a
/// second some 15 writes a second instead of 60.
constexpr Duration kRecordLinger = std::chrono::milliseconds(15);
/// A transaction takes 32 compares and writes: the cell's record, and two a
/// job.
constexpr std::size_t kJobsPerRecord = 15;
/// Of the log lines on what was learned, and the least pressure a core that
/// they name.
constexpr Duration kBeliefInterval = std::chrono::seconds(5);
constexpr double kNotablePressure = 0.03;
constexpr double kPerThousand = 1000.0;
constexpr Duration kCleanupPause = std::chrono::seconds(10);
constexpr std::size_t kDeletesPerCleanup = 15;

constexpr Duration kAttachTimeout = std::chrono::milliseconds(2000);
constexpr Duration kAttachRetry = std::chrono::milliseconds(150);
/// Longer than an agent needs to settle orders that the worker did not answer.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(2500);
constexpr Duration kOrderWait = std::chrono::milliseconds(200);
/// Three reports missed.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1300);
/// An agent that is gone for so long is no longer asked for.
constexpr Duration kForgetAfter = std::chrono::seconds(20);

/// The high part of a session is its generation, so that sessions rise over
/// owners; the low part is left to the agent for fences of its own.
constexpr int kGenerationShift = 32;
constexpr int kSessionShift = 8;

void LogDecision(const CellDecision& aDecision)
{
  LogChange(aDecision.mEvent,
            { { "job", aDecision.mJob },
              { "task", aDecision.mTask },
              { "agent", aDecision.mAgent },
              { "run", aDecision.mRun },
              { "reason", aDecision.mReason },
              { "ms", aDecision.mAgeMs } });
}

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

template<typename Record>
std::optional<Record> ReadRecord(std::string_view aKey, std::string_view aText)
{
  auto record = FromJsonText<Record>(aText);
  if (!record.ok()) {
    LogError("record-unreadable",
             { { "key", aKey }, { "error", record.status().ToString() } });
    return std::nullopt;
  }
  return *std::move(record);
}

} // namespace

CellOwner::CellOwner(Parts aParts,
                     OwnerTerm aTerm,
                     CellSettings aSettings,
                     const std::vector<QueuePolicy>& aQueues)
  : mParts(std::move(aParts))
  , mTerm(aTerm)
  , mSettings(aSettings)
  , mLogic(aTerm.OwnGeneration(), aSettings, LogDecision)
{
  mLogic.SetQueues(aQueues);
}

CellClock CellOwner::Clock() const
{
  return { MonotonicNow(), UnixMs() };
}

StoreCompare CellOwner::CellUnchanged() const
{
  return { std::string(kCellKey), mTerm.CellRevision() };
}

Session CellOwner::NextSession()
{
  return (mTerm.OwnGeneration() << kGenerationShift) +
         (++mSessions << kSessionShift);
}

absl::Status CellOwner::Load()
{
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
              { "agents", mDesks.size() } });
  Spawn(&CellOwner::RunJobWatch);
  Spawn(&CellOwner::RunSchedule);
  Spawn(&CellOwner::RunRecords);
  Spawn(&CellOwner::RunCleanup);
  Spawn(&CellOwner::RunBeliefs);
  return absl::OkStatus();
}

absl::Status CellOwner::LoadJobs()
{
  const auto progress = mParts.mStore.List(kProgressPrefix);
  if (!progress.ok()) {
    return progress.status();
  }
  std::map<JobId, std::pair<StoredProgress, Revision>> known;
  for (const StoreEntry& entry : progress->mEntries) {
    if (auto record = ReadRecord<StoredProgress>(entry.mKey, entry.mValue)) {
      known[JobId(std::string(KeyName(entry.mKey, kProgressPrefix)))] = {
        *std::move(record), entry.mModRevision
      };
    }
  }
  const auto jobs = mParts.mStore.List(kJobPrefix);
  if (!jobs.ok()) {
    return jobs.status();
  }
  for (const StoreEntry& entry : jobs->mEntries) {
    if (auto record = ReadRecord<StoredJob>(entry.mKey, entry.mValue)) {
      const auto& [state, revision] = known[record->mGraph.mId];
      mLogic.AddJob(*record, state, revision, Clock());
    }
  }
  mJobsFrom = jobs->mRevision;
  return absl::OkStatus();
}

absl::Status CellOwner::LoadAgents()
{
  const auto agents = mParts.mStore.List(kAgentPrefix);
  if (!agents.ok()) {
    return agents.status();
  }
  std::set<AgentId> expected;
  for (const StoreEntry& entry : agents->mEntries) {
    const AgentId id{ std::string(KeyName(entry.mKey, kAgentPrefix)) };
    if (const auto contact =
          ReadRecord<AgentContact>(entry.mKey, entry.mValue)) {
      expected.insert(id);
      Desk& desk = DeskOf(id, contact->mEndpoint);
      desk.mRecorded = true;
      desk.mListed = true;
    }
  }
  mLogic.ExpectAgents(
    expected, MonotonicNow() + mSettings.mAuthority + mSettings.mLeaseMargin);
  return absl::OkStatus();
}

void CellOwner::End()
{
  if (std::exchange(mEnded, true)) {
    return;
  }
  LogChange("cell-released", { { "generation", mTerm.OwnGeneration() } });
  mSchedulePoke.Now();
  mRecordPoke.Now();
  for (auto& [agent, desk] : mDesks) {
    desk->mPoke.Now();
  }
}

void CellOwner::SetQueues(const std::vector<QueuePolicy>& aQueues)
{
  mLogic.SetQueues(aQueues);
  mSchedulePoke.Now();
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
          TakeJobEvent(event);
        }
        return !mEnded;
      });
    if (mEnded) {
      return;
    }
    LogDebug("job-watch-ended", { { "error", ended.ToString() } });
    boost::this_fiber::sleep_for(kStoreRetry);
    // Whatever the watch missed is in the list; known jobs are kept as they
    // are.
    if (const auto jobs = mParts.mStore.List(kJobPrefix); jobs.ok()) {
      for (const StoreEntry& entry : jobs->mEntries) {
        TakeJobEvent({ entry.mKey, entry.mValue, entry.mModRevision });
      }
      mJobsFrom = jobs->mRevision;
    }
  }
}

void CellOwner::TakeJobEvent(const StoreEvent& aEvent)
{
  mJobsFrom = std::max(mJobsFrom, aEvent.mModRevision);
  if (!aEvent.mValue) {
    return; // Deleted by ourselves, after its end.
  }
  if (const auto job = ReadRecord<StoredJob>(aEvent.mKey, *aEvent.mValue)) {
    OnRecordChanged(*job);
  }
}

void CellOwner::OnRecordChanged(const StoredJob& aJob)
{
  mLogic.AddJob(aJob, {}, 0, Clock());
  mSchedulePoke.Now();
  mRecordPoke.Now();
}

void CellOwner::RunSchedule()
{
  while (!mEnded) {
    mSchedulePoke.Wait(kTick);
    boost::this_fiber::sleep_for(kGather);
    if (mEnded) {
      return;
    }
    mLogic.Schedule(Clock());
    for (const AgentId& agent : mLogic.AgentsWithOrders()) {
      if (const auto desk = mDesks.find(agent); desk != mDesks.end()) {
        desk->second->mPoke.Now();
      }
    }
    if (mLogic.HasUnrecorded()) {
      mRecordPoke.Now();
    }
  }
}

void CellOwner::RunRecords()
{
  while (!mEnded) {
    if (!mLogic.HasUnrecorded()) {
      mRecordPoke.Wait(std::chrono::seconds(1));
      continue;
    }
    boost::this_fiber::sleep_for(kRecordLinger);
    if (!mEnded && !RecordBatch()) {
      boost::this_fiber::sleep_for(kStoreRetry);
    }
  }
}

bool CellOwner::RecordBatch()
{
  const std::vector<UnrecordedProgress> batch =
    mLogic.Unrecorded(kJobsPerRecord);
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  for (const UnrecordedProgress& job : batch) {
    const std::string key = ProgressKey(job.mJob);
    transaction.mCompares.push_back({ key, job.mRevision });
    transaction.mWrites.push_back({ key, ToJsonText(job.mProgress) });
  }
  const Instant sentAt = MonotonicNow();
  const auto result = mParts.mStore.Commit(transaction);
  if (mEnded) {
    return false;
  }
  if (!result.ok()) {
    LogWarning("record-failed",
               { { "jobs", batch.size() },
                 { "verdict", ToString(VerdictOf(result.status())) },
                 { "error", result.status().ToString() } });
    return false;
  }
  if (!result->mApplied) {
    TakeConflict(batch, *result);
    return false;
  }
  mTerm.Confirm(sentAt);
  ++mFigures.mRecords;
  for (const UnrecordedProgress& job : batch) {
    mLogic.NoteRecorded(job.mJob, job.mVersion, result->mRevision);
  }
  mSchedulePoke.Now();
  return true;
}

/// A condition failed: either another owner has the cell, or an earlier write
/// of ours took effect although its reply was lost.
void CellOwner::TakeConflict(const std::vector<UnrecordedProgress>& aBatch,
                             const StoreTransactionResult& aResult)
{
  std::map<std::string, Revision> current;
  for (const StoreEntry& entry : aResult.mCurrent) {
    current[entry.mKey] = entry.mModRevision;
  }
  if (const auto cell = current.find(std::string(kCellKey));
      cell == current.end() || cell->second != mTerm.CellRevision()) {
    LogWarning("cell-superseded", { { "generation", mTerm.OwnGeneration() } });
    mParts.mOnSuperseded();
    return;
  }
  for (const UnrecordedProgress& job : aBatch) {
    const auto found = current.find(ProgressKey(job.mJob));
    const Revision revision = found == current.end() ? 0 : found->second;
    if (revision != job.mRevision) {
      LogChange("record-conflict",
                { { "job", job.mJob },
                  { "expected", job.mRevision },
                  { "found", revision } });
      mLogic.NoteProgressRevision(job.mJob, revision);
    }
  }
}

/// What is believed of the images, for whoever asks why a task was placed or
/// slowed down.
void CellOwner::RunBeliefs()
{
  while (!mEnded) {
    boost::this_fiber::sleep_for(kBeliefInterval);
    std::string pairs;
    for (const Pressure& pressure : mLogic.Learned().Known()) {
      if (pressure.mPerCore >= kNotablePressure) {
        pairs += pressure.mLeftover + ">" + pressure.mServing + ":" +
                 std::to_string(std::lround(kPerThousand * pressure.mPerCore)) +
                 ",";
      }
    }
    if (!mEnded && !pairs.empty()) {
      LogChange("pressures", { { "perMille", pairs } });
    }
  }
}

void CellOwner::RunCleanup()
{
  while (!mEnded) {
    boost::this_fiber::sleep_for(kCleanupPause);
    if (mEnded) {
      return;
    }
    const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(mParts.mKeepEnded);
    std::vector<JobId> ended = mLogic.EndedBefore(UnixMs() - keep.count());
    ended.resize(std::min(ended.size(), kDeletesPerCleanup));
    if (ended.empty()) {
      continue;
    }
    StoreTransaction transaction;
    transaction.mCompares.push_back(CellUnchanged());
    for (const JobId& job : ended) {
      transaction.mWrites.push_back({ JobKey(job), std::nullopt });
      transaction.mWrites.push_back({ ProgressKey(job), std::nullopt });
    }
    if (const auto result = mParts.mStore.Commit(transaction);
        result.ok() && result->mApplied) {
      LogChange("ended-jobs-deleted", { { "jobs", ended.size() } });
      for (const JobId& job : ended) {
        mLogic.DropJob(job);
      }
    }
  }
}

ReportReply CellOwner::OnReport(const ReportRequest& aReport)
{
  ++mFigures.mReports;
  ReportReply reply;
  reply.mOwner = true;
  reply.mGeneration = mTerm.OwnGeneration();
  Desk& desk = DeskOf(aReport.mAgent, aReport.mEndpoint);
  desk.mHeardAt = MonotonicNow();
  reply.mAttached = mLogic.TakeReport(aReport, Clock());
  if (!reply.mAttached) {
    if (Attached(aReport.mAgent)) {
      Detach(aReport.mAgent); // It restarted and knows of no session.
    }
    desk.mPoke.Now();
    return reply;
  }
  const Instant now = MonotonicNow();
  reply.mGrant = mTerm.GrantAt(now);
  mLogic.NoteGrant(aReport.mAgent, now + reply.mGrant);
  reply.mAcknowledged = mLogic.Acknowledged(aReport.mAgent);
  reply.mPressures = mLogic.PressuresOn(aReport.mAgent);
  mSchedulePoke.Now();
  return reply;
}

CellOwner::Desk& CellOwner::DeskOf(const AgentId& aAgent,
                                   const Endpoint& aEndpoint)
{
  auto& desk = mDesks[aAgent];
  if (!desk) {
    desk = std::make_unique<Desk>();
    desk->mHeardAt = MonotonicNow();
    mParts.mRuntime.Spawn([self = shared_from_this(), aAgent, &desk = *desk] {
      self->RunDesk(aAgent, desk);
    });
  }
  if (desk->mEndpoint != aEndpoint) {
    desk->mRecorded = false;
    desk->mEndpoint = aEndpoint;
  }
  return *desk;
}

bool CellOwner::Attached(const AgentId& aAgent) const
{
  const auto found = mLogic.Workers().find(aAgent);
  return found != mLogic.Workers().end() &&
         found->second.mLink == WorkerLink::Attached;
}

void CellOwner::Detach(const AgentId& aAgent)
{
  mLogic.DetachWorker(aAgent, Clock());
  mSchedulePoke.Now();
}

void CellOwner::RunDesk(const AgentId& aAgent, Desk& aDesk)
{
  while (!mEnded) {
    if (MonotonicNow() - aDesk.mHeardAt > kForgetAfter) {
      ForgetAgent(aAgent);
      return;
    }
    const Duration pause =
      Attached(aAgent) ? OrderRound(aAgent, aDesk) : AttachRound(aAgent, aDesk);
    if (!mEnded && pause > Duration::zero()) {
      aDesk.mPoke.Wait(pause);
    }
  }
}

/// An agent may run tasks only after the store names it, so that the next owner
/// knows whom to ask.
bool CellOwner::RecordAgent(const AgentId& aAgent, Desk& aDesk)
{
  if (aDesk.mRecorded) {
    return true;
  }
  const Endpoint endpoint = aDesk.mEndpoint;
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mWrites.push_back(
    { AgentKey(aAgent), ToJsonText(AgentContact{ endpoint }) });
  const auto result = mParts.mStore.Commit(transaction);
  aDesk.mRecorded =
    result.ok() && result->mApplied && endpoint == aDesk.mEndpoint;
  return aDesk.mRecorded;
}

void CellOwner::ForgetAgent(const AgentId& aAgent)
{
  LogChange("agent-forgotten", { { "agent", aAgent } });
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mWrites.push_back({ AgentKey(aAgent), std::nullopt });
  if (const auto result = mParts.mStore.Commit(transaction); !result.ok()) {
    LogWarning("agent-record-kept", { { "agent", aAgent } });
  }
  mDesks.erase(aAgent);
}

Duration CellOwner::AttachRound(const AgentId& aAgent, Desk& aDesk)
{
  if (!RecordAgent(aAgent, aDesk)) {
    return kAttachRetry;
  }
  const Session session = NextSession();
  const auto reply = net::CallTyped<AttachReply>(
    mParts.mRpc,
    aDesk.mEndpoint,
    kAttachMethod,
    AttachRequest{ mTerm.OwnGeneration(), session, mParts.mSelf },
    kAttachTimeout);
  if (mEnded) {
    return Duration::zero();
  }
  if (!reply.ok()) {
    LogDebug("attach-failed",
             { { "agent", aAgent }, { "error", reply.status().ToString() } });
    return kAttachRetry;
  }
  if (!reply->mAttached) {
    LogWarning("attach-refused",
               { { "agent", aAgent }, { "generation", reply->mGeneration } });
    return kAttachRetry;
  }
  aDesk.mHeardAt = MonotonicNow();
  mLogic.AttachWorker(aAgent, aDesk.mEndpoint, session, reply->mState, Clock());
  mSchedulePoke.Now();
  return Duration::zero();
}

Duration CellOwner::OrderRound(const AgentId& aAgent, Desk& aDesk)
{
  if (MonotonicNow() - aDesk.mHeardAt > kSilentAfter) {
    Detach(aAgent);
    return Duration::zero();
  }
  const OrderRequest orders = mLogic.TakeOrders(aAgent);
  if (orders.mStarts.empty() && orders.mStops.empty() &&
      orders.mTraits.empty()) {
    return kOrderWait;
  }
  ++mFigures.mOrders;
  mFigures.mStarts += orders.mStarts.size();
  const auto reply = net::CallTyped<OrderReply>(
    mParts.mRpc, aDesk.mEndpoint, kOrderMethod, orders, kOrderTimeout);
  if (mEnded) {
    return Duration::zero();
  }
  if (!reply.ok() || !reply->mAccepted) {
    LogWarning(
      "orders-unsettled",
      { { "agent", aAgent },
        { "session", orders.mSession },
        { "starts", orders.mStarts.size() },
        { "error", reply.ok() ? "not accepted" : reply.status().ToString() } });
    // Only the session that the orders were sent in is in doubt.
    if (const auto worker = mLogic.Workers().find(aAgent);
        worker != mLogic.Workers().end() &&
        worker->second.mSession == orders.mSession) {
      Detach(aAgent);
    }
    return Duration::zero();
  }
  mLogic.TakeStartResults(aAgent, orders.mSession, reply->mStarts, Clock());
  mSchedulePoke.Now();
  return Duration::zero();
}

} // namespace foxtailbarrow::scheduler
