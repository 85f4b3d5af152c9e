#include "apps/agent/HeartbeatSender.h"

#include <algorithm>
#include <utility>

#include "foxtailbarrow/MethodNames.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow {

namespace {

/// After this long without an answer the settings' entries are tried too.
constexpr Duration kSilence = std::chrono::seconds(5);

/// An answer that comes later is of no use: the next heartbeat is due.
constexpr Duration kLeastTimeout = std::chrono::milliseconds(500);

/// Shortest pause between two looks at the schedule.
constexpr Duration kLeastPause = std::chrono::milliseconds(5);

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
  settings.mShortest = aSettings.mHeartbeat;
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
    return Pause();
  });
}

Duration HeartbeatSender::Pause() const
{
  const std::lock_guard lock(mMutex);
  const Duration left = mSchedule.NextDue() - MonotonicNow();
  return std::clamp(
    left, kLeastPause, std::max(kLeastPause, mSettings.mHeartbeat));
}

void HeartbeatSender::SendNow()
{
  mHurry = true;
  mPoke.Now();
}

bool HeartbeatSender::Told(std::uint64_t aSequence) const
{
  const std::lock_guard lock(mMutex);
  bool isAnyTold = false;
  for (const auto& [entry, peer] : mPeers) {
    if (peer.mAnswers && peer.mAnsweredSequence < aSequence) {
      return false;
    }
    isAnyTold = isAnyTold || peer.mAnswers;
  }
  return isAnyTold;
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
  const Json::Value body = ToJson(heartbeat);
  const std::size_t bytes = FormatJson(body).size();
  for (const Endpoint& entry : targets) {
    mFibers.Spawn([this, entry, sequence, body, bytes] {
      SendOne(entry, sequence, body, bytes);
    });
  }
}

std::vector<Endpoint> HeartbeatSender::Targets(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  UpdateEntries(aNow);
  if (mHurry.exchange(false)) {
    mSchedule.Hurry(aNow);
  }
  std::vector<Endpoint> targets = mSchedule.Due(aNow, mRandom);
  std::erase_if(targets, [this](const Endpoint& aEntry) {
    return std::exchange(mPeers[aEntry].mBusy, true);
  });
  return targets;
}

void HeartbeatSender::UpdateEntries(Instant aNow)
{
  std::vector<Endpoint> entries = mEntries;
  if (entries.empty() || mLastAnswer + kSilence <= aNow) {
    AddMissing(entries, mSettings.mEntries);
  }
  mSchedule.SetEntries(entries, aNow, mRandom);
  std::erase_if(mPeers, [&entries](const auto& aPeer) {
    return !aPeer.second.mBusy &&
           std::find(entries.begin(), entries.end(), aPeer.first) ==
             entries.end();
  });
}

void HeartbeatSender::SendOne(const Endpoint& aEntry,
                              std::uint64_t aSequence,
                              const Json::Value& aBody,
                              std::size_t aBytes)
{
  mSent.Increment();
  const Duration timeout = std::max(kLeastTimeout, 2 * mSettings.mHeartbeat);
  const absl::StatusOr<Json::Value> result =
    mRpc.Call(aEntry, kHeartbeatMethod, aBody, timeout);
  const absl::StatusOr<HeartbeatReply> reply =
    result.ok() ? FromJson<HeartbeatReply>(*result) : result.status();
  if (!reply.ok()) {
    mFailed.Increment();
    LogDebug("heartbeat-failed",
             { { "entry", aEntry },
               { "error", std::string(reply.status().message()) } });
    NoteSilence(aEntry);
    return;
  }
  mHooks.mOnReply(aSequence, *reply);
  NoteAnswer(aEntry, aSequence, *reply, aBytes + FormatJson(*result).size());
}

void HeartbeatSender::NoteAnswer(const Endpoint& aEntry,
                                 std::uint64_t aSequence,
                                 const HeartbeatReply& aReply,
                                 std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mSchedule.Measured(aBytes + kFrameBytes);
  Peer& peer = mPeers[aEntry];
  if (!std::exchange(peer.mAnswers, true)) {
    LogChange("entry-answers", { { "entry", aEntry } });
  }
  peer.mBusy = false;
  peer.mAnsweredSequence = std::max(peer.mAnsweredSequence, aSequence);
  peer.mAnsweredAt = mLastAnswer = MonotonicNow();
  if (!aReply.mEntries.empty()) {
    mEntries = aReply.mEntries;
  }
}

void HeartbeatSender::NoteSilence(const Endpoint& aEntry)
{
  const std::lock_guard lock(mMutex);
  Peer& peer = mPeers[aEntry];
  peer.mBusy = false;
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
