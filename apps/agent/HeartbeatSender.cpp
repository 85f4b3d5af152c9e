#include "apps/agent/HeartbeatSender.h"

#include <algorithm>
#include <utility>

#include "foxtailbarrow/MethodNames.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

/// After this long without an answer the settings' entries are tried too.
constexpr Duration kNoAnswerTimeout = std::chrono::seconds(5);

/// An answer that comes later is of no use: the next heartbeat is due.
constexpr Duration kMinTimeout = std::chrono::milliseconds(500);

/// Shortest pause between two looks at the schedule.
constexpr Duration kMinPause = std::chrono::milliseconds(5);

/// HTTP headers and JSON-RPC frame of a call and its answer together; measured
/// with two entries on one machine, rounded up.
constexpr std::size_t kFrameBytes = 400;

void AddMissing(std::vector<Endpoint>& aTargets,
                const std::vector<Endpoint>& aMore)
{
  for (const Endpoint& entry : aMore) {
    if (std::find(aTargets.begin(), aTargets.end(), entry) == aTargets.end()) {
      aTargets.push_back(entry);
    }
  }
}

HeartbeatSettings ScheduleSettings(const AgentSettings& aSettings)
{
  HeartbeatSettings settings;
  settings.mMinInterval = aSettings.mHeartbeat;
  return settings;
}

} // namespace

HeartbeatSender::HeartbeatSender(const AgentSettings& aSettings,
                                 net::FiberRuntime& aRuntime,
                                 net::HttpClient& aClient,
                                 Metrics& aMetrics,
                                 Hooks aHooks)
  : mSettings(aSettings)
  , mRpc(aClient)
  , mHooks(std::move(aHooks))
  , mFibers(aRuntime)
  , mSchedule(ScheduleSettings(aSettings))
  , mSent(aMetrics.Counter("agent_heartbeats_total", "Heartbeats sent"))
  , mFailed(aMetrics.Counter("agent_heartbeats_failed_total",
                             "Heartbeats without a readable answer"))
{
}

void HeartbeatSender::Start()
{
  mFibers.Repeat(mPoke, [this] {
    SendRound();
    return NextDelay();
  });
}

Duration HeartbeatSender::NextDelay() const
{
  const std::lock_guard lock(mMutex);
  const Duration left = mSchedule.NextDue() - MonotonicNow();
  return std::clamp(left, kMinPause, std::max(kMinPause, mSettings.mHeartbeat));
}

void HeartbeatSender::SendNow()
{
  mSendToAll = true;
  mPoke.Now();
}

bool HeartbeatSender::Reported(std::uint64_t aSequence) const
{
  const std::lock_guard lock(mMutex);
  bool isAnyReported = false;
  for (const auto& [entry, peer] : mPeers) {
    if (peer.mAnswers && peer.mAnsweredSequence < aSequence) {
      return false;
    }
    isAnyReported = isAnyReported || peer.mAnswers;
  }
  return isAnyReported;
}

Instant HeartbeatSender::LastAnswer() const
{
  const std::lock_guard lock(mMutex);
  return mLastAnswer;
}

void HeartbeatSender::SendRound()
{
  const Instant sentAt = MonotonicNow();
  const std::vector<Endpoint> targets = Targets(sentAt);
  if (targets.empty()) {
    return;
  }
  const std::uint64_t sequence = ++mSequence;
  mHooks.mOnSend(sequence, sentAt);
  Heartbeat heartbeat;
  mHooks.mFill(heartbeat);
  heartbeat.mSequence = sequence;
  for (const Endpoint& entry : targets) {
    heartbeat.mConfiguration = mHooks.mCursor(IdOf(entry));
    mFibers.Spawn([this, entry, heartbeat] { SendTo(entry, heartbeat); });
  }
}

EntryId HeartbeatSender::IdOf(const Endpoint& aEntry) const
{
  const std::lock_guard lock(mMutex);
  const auto peer = mPeers.find(aEntry);
  return peer == mPeers.end() ? EntryId() : peer->second.mEntry;
}

std::vector<Endpoint> HeartbeatSender::Targets(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  UpdateEntries(aNow);
  if (mSendToAll.exchange(false)) {
    mSchedule.MakeAllDue(aNow);
  }
  std::vector<Endpoint> targets = mSchedule.Due(aNow, mRandom);
  std::erase_if(targets, [this](const Endpoint& aEntry) {
    return std::exchange(mPeers[aEntry].mInFlight, true);
  });
  return targets;
}

void HeartbeatSender::UpdateEntries(Instant aNow)
{
  std::vector<Endpoint> entries = mEntries;
  if (entries.empty() || mLastAnswer + kNoAnswerTimeout <= aNow) {
    AddMissing(entries, mSettings.mEntries);
  }
  mSchedule.SetEntries(entries, aNow, mRandom);
  std::erase_if(mPeers, [&entries](const auto& aPeer) {
    return !aPeer.second.mInFlight &&
           std::find(entries.begin(), entries.end(), aPeer.first) ==
             entries.end();
  });
}

void HeartbeatSender::SendTo(const Endpoint& aEntry,
                             const Heartbeat& aHeartbeat)
{
  mSent.Increment();
  const Json::Value body = ToJson(aHeartbeat);
  const Duration timeout = std::max(kMinTimeout, 2 * mSettings.mHeartbeat);
  const absl::StatusOr<Json::Value> result =
    mRpc.Call(aEntry, kHeartbeatMethod, body, timeout);
  const absl::StatusOr<HeartbeatReply> reply =
    result.ok() ? FromJson<HeartbeatReply>(*result) : result.status();
  if (!reply.ok()) {
    mFailed.Increment();
    LogDebug("heartbeat-failed",
             { { "entry", aEntry },
               { "error", std::string(reply.status().message()) } });
    OnNoAnswer(aEntry);
    return;
  }
  mHooks.mOnReply(aHeartbeat, *reply);
  const std::size_t bytes =
    FormatJson(body).size() + FormatJson(*result).size();
  OnAnswer(aEntry, aHeartbeat.mSequence, *reply, bytes);
}

void HeartbeatSender::OnAnswer(const Endpoint& aEntry,
                               std::uint64_t aSequence,
                               const HeartbeatReply& aReply,
                               std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mSchedule.RecordExchangeSize(aBytes + kFrameBytes);
  Peer& peer = mPeers[aEntry];
  if (!std::exchange(peer.mAnswers, true)) {
    LogChange("entry-answers", { { "entry", aEntry } });
  }
  peer.mInFlight = false;
  peer.mEntry = aReply.mEntry;
  peer.mAnsweredSequence = std::max(peer.mAnsweredSequence, aSequence);
  peer.mAnsweredAt = mLastAnswer = MonotonicNow();
  if (!aReply.mEntries.empty()) {
    mEntries = aReply.mEntries;
  }
}

void HeartbeatSender::OnNoAnswer(const Endpoint& aEntry)
{
  const std::lock_guard lock(mMutex);
  Peer& peer = mPeers[aEntry];
  peer.mInFlight = false;
  if (std::exchange(peer.mAnswers, false)) {
    LogChange("entry-silent", { { "entry", aEntry } });
  }
}

Json::Value HeartbeatSender::StateJson() const
{
  const std::lock_guard lock(mMutex);
  Json::Value object(Json::objectValue);
  object["sequence"] = Json::UInt64{ mSequence.load() };
  object["intervalUs"] = Json::Int64{ mSchedule.Interval().count() };
  object["entries"] = Json::Value(Json::arrayValue);
  for (const auto& [entry, peer] : mPeers) {
    Json::Value one(Json::objectValue);
    one["endpoint"] = ToString(entry);
    one["answers"] = peer.mAnswers;
    one["silentUs"] =
      Json::Int64{ (MonotonicNow() - peer.mAnsweredAt).count() };
    object["entries"].append(std::move(one));
  }
  return object;
}

} // namespace foxtailbarrow
