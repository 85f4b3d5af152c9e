#include "apps/taskagent/OwnerLink.h"

#include <chrono>
#include <optional>
#include <utility>

#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::taskagent {

using namespace cell;

namespace {

/// Interval of reports without changes. Several fit into the shortest lease,
/// and each includes the load figures, which cover half a second.
constexpr Duration kReportInterval = ReportEncoder::kFiguresInterval;
constexpr Duration kReportTimeout = std::chrono::milliseconds(700);
/// Pause before the next attempt without an owner or a session.
constexpr Duration kRetry = std::chrono::milliseconds(150);
constexpr Duration kSeedTimeout = std::chrono::milliseconds(400);
/// Longest pause between two searches. A new owner also contacts the agents.
constexpr Duration kLongestSearchPause = std::chrono::milliseconds(1200);
/// Time without a reply of the owner after which a new one is searched for.
constexpr Duration kLostAfter = std::chrono::milliseconds(900);

/// The report as an owner of an earlier version reads it.
ReportRequest WithoutStartTime(ReportRequest aReport)
{
  aReport.mState.mInfo.mIncarnation.mStartedUnixMs.reset();
  if (aReport.mChange && aReport.mChange->mInfo) {
    aReport.mChange->mInfo->mIncarnation.mStartedUnixMs.reset();
  }
  return aReport;
}

} // namespace

OwnerLink::OwnerLink(const TaskAgentSettings& aSettings,
                     net::FiberRuntime& aRuntime,
                     WorkerControl& aWorker,
                     Store& aStore,
                     net::RpcClient& aRpc)
  : mSettings(aSettings)
  , mRuntime(aRuntime)
  , mWorker(aWorker)
  , mStore(aStore)
  , mRpc(aRpc)
  , mSearches(kRetry, kLongestSearchPause)
{
}

Duration OwnerLink::Round()
{
  if (mWorker.Info().mIncarnation.Empty()) {
    return kRetry;
  }
  if (mOwner) {
    StartReport();
  }
  const Instant now = MonotonicNow();
  if (!mOwner || now - mLastContactAt > kLostAfter) {
    if (std::exchange(mInContact, false)) {
      LogWarning("owner-lost", { { "generation", mGeneration } });
    }
    if (now >= mNextSearchAt) {
      Find();
      mNextSearchAt = MonotonicNow() + mSearches.Next(mRandom);
    }
    return kRetry;
  }
  return mWorker.CurrentSession() == 0 ? kRetry : kReportInterval;
}

void OwnerLink::StartReport()
{
  const Session session = mWorker.CurrentSession();
  if (mPendingReport == session) {
    return;
  }
  mPendingReport = session;
  mReportRequested = false;
  mRuntime.Spawn([this, session] {
    Report();
    if (mPendingReport == session) {
      mPendingReport.reset();
      if (mReportRequested) {
        mWaker.Wake();
      }
    }
  });
}

ReportRequest OwnerLink::BuildReport(Instant aNow)
{
  const Session session = mWorker.CurrentSession();
  if (session != std::exchange(mReportedSession, session)) {
    mSequence = 0;
    mEncoder.Forget();
  }
  WorkerSnapshot snapshot = mWorker.Snapshot();
  ReportRequest report;
  report.mAgent = mSettings.mId;
  report.mEndpoint = mSettings.mAdvertised;
  report.mSession = session;
  report.mSequence = ++mSequence;
  report.mOrdersDone = snapshot.mOrdersDone;
  mEncoder.Fill(std::move(snapshot.mState), aNow, report);
  report.mWorkerAnswers = snapshot.mAnswers;
  report.mWorkerEnded = snapshot.mEnded;
  report.mAnsweredAt = snapshot.mAnsweredAt;
  report.mLeaseLeft = snapshot.mLeaseLeft;
  report.mReplyTook = mReplyTook;
  return report;
}

void OwnerLink::Report()
{
  const Instant sentAt = MonotonicNow();
  const ReportRequest report = BuildReport(sentAt);
  const Session session = report.mSession;
  ++mReports;
  const Endpoint owner = *mOwner;
  const bool readsStartTime = session != 0 && mReadsStartTime == mGeneration;
  const std::optional<ReportRequest> reduced =
    readsStartTime ? std::nullopt : std::optional(WithoutStartTime(report));
  const auto reply = CallTyped<ReportReply>(
    mRpc, owner, kReportMethod, reduced ? *reduced : report, kReportTimeout);
  if (!reply.ok()) {
    mEncoder.Forget();
    LogWarning("report-failed",
               { { "owner", owner },
                 { "session", session },
                 { "error", reply.status().ToString() } });
    mReplyTook = MonotonicNow() - sentAt;
    return;
  }
  mReplyTook = MonotonicNow() - sentAt;
  OnReply(*reply, owner, report, sentAt);
}

void OwnerLink::OnReply(const ReportReply& aReply,
                        const Endpoint& aOwner,
                        const ReportRequest& aReport,
                        Instant aSentAt)
{
  if (aReport.mSession == mReportedSession) {
    if (aReply.mAttached && !aReply.mSendFullState) {
      mEncoder.OnAccepted(aReport);
    } else {
      mEncoder.Forget();
    }
  }
  if (!aReply.mOwner) {
    const bool moved =
      !aReply.mOwnerAt.empty() &&
      OnOwnerFound(aReply.mGeneration, aReply.mOwnerAt.front());
    if (!moved && mOwner == aOwner) {
      mOwner.reset();
    }
    return;
  }
  if (aReply.mGeneration < mGeneration) {
    return; // The owner was replaced and has not noticed yet.
  }
  if (!mInContact) {
    LogChange("owner-found",
              { { "owner", aOwner }, { "generation", aReply.mGeneration } });
  }
  OnContact();
  if (aReply.mAttached &&
      mEncoder.Incarnation() == mWorker.Info().mIncarnation) {
    mWorker.OnGrant(
      aReport.mSession, aSentAt, aReply.mGrant, aReply.mAcknowledged);
    mWorker.SetInterferenceWeights(aReply.mInterferenceWeights);
  }
}

void OwnerLink::OnContact()
{
  mLastContactAt = MonotonicNow();
  mInContact = true;
  mSearches.Reset();
}

void OwnerLink::Find()
{
  if (!FindByStore()) {
    FindBySeeds();
  }
}

bool OwnerLink::FindByStore()
{
  // An earlier owner's record is ignored by its generation.
  const auto entry = mStore.ReadSerializable(kOwnerKey);
  if (!entry.ok()) {
    return false;
  }
  const auto record = FromJsonText<OwnerRecord>(entry->mValue);
  if (!record.ok()) {
    // Each search reads it again.
    if (std::exchange(mUnreadableRevision, entry->mModRevision) !=
        entry->mModRevision) {
      LogError("owner-record-unreadable",
               { { "revision", entry->mModRevision },
                 { "error", record.status().ToString() } });
    }
    return false;
  }
  return OnOwnerFound(record->mGeneration, record->mEndpoint);
}

bool OwnerLink::FindBySeeds()
{
  for (const Endpoint& seed : mSettings.mSeeds) {
    const auto reply = CallTyped<FindOwnerReply>(
      mRpc, seed, kFindOwnerMethod, FindOwner(), kSeedTimeout);
    if (reply.ok() && !reply->mOwnerAt.empty() &&
        OnOwnerFound(reply->mGeneration, reply->mOwnerAt.front())) {
      return true;
    }
  }
  return false;
}

bool OwnerLink::OnOwnerFound(Generation aGeneration, const Endpoint& aOwner)
{
  if (aGeneration < mGeneration) {
    return false;
  }
  mGeneration = aGeneration;
  mOwner = aOwner;
  return true;
}

absl::StatusOr<AttachReply> OwnerLink::OnAttach(
  const AttachRequest& aRequest,
  OwnerReadsStartTime aReadsStartTime)
{
  AttachReply reply;
  reply.mGeneration = mGeneration;
  if (aRequest.mGeneration < mGeneration) {
    return reply;
  }
  const auto state = mWorker.Attach(aRequest.mSession);
  LogChange("attach",
            { { "owner", aRequest.mOwner },
              { "generation", aRequest.mGeneration },
              { "session", aRequest.mSession },
              { "outcome", state.ok() ? "ok" : state.status().ToString() } });
  if (!state.ok()) {
    return state.status();
  }
  OnOwnerFound(aRequest.mGeneration, aRequest.mOwner);
  OnContact();
  reply.mAttached = true;
  reply.mGeneration = mGeneration;
  reply.mState = *state;
  if (aReadsStartTime == OwnerReadsStartTime::Yes) {
    mReadsStartTime = mGeneration;
  } else {
    mReadsStartTime = 0;
    reply.mState.mInfo.mIncarnation.mStartedUnixMs.reset();
  }
  RequestReport(); // Its reply has the first grant.
  return reply;
}

} // namespace foxtailbarrow::taskagent
