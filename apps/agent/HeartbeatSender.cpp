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

void AddMissing(std::vector<Endpoint>& aTargets,
                const std::vector<Endpoint>& aMore)
{
  for (const Endpoint& entry : aMore) {
    if (std::find(aTargets.begin(), aTargets.end(), entry) == aTargets.end()) {
      aTargets.push_back(entry);
    }
  }
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
  , mSent(aMetrics.Counter("agent_heartbeats_total", "Heartbeats sent"))
  , mFailed(aMetrics.Counter("agent_heartbeats_failed_total",
                             "Heartbeats without a readable answer"))
{
}

void HeartbeatSender::Start()
{
  mFibers.Repeat(mPoke, mSettings.mHeartbeat, [this] { SendRound(); });
}

Instant HeartbeatSender::LastAnswer() const
{
  const std::lock_guard lock(mMutex);
  return mLastAnswer;
}

void HeartbeatSender::SendRound()
{
  const Instant sentAt = MonotonicNow();
  const std::uint64_t sequence = ++mSequence;
  mHooks.mOnSend(sequence, sentAt);
  Heartbeat heartbeat;
  mHooks.mFill(heartbeat);
  heartbeat.mSequence = sequence;
  const Json::Value body = ToJson(heartbeat);
  for (const Endpoint& entry : Targets(sentAt)) {
    mFibers.Spawn(
      [this, entry, sequence, body] { SendOne(entry, sequence, body); });
  }
}

std::vector<Endpoint> HeartbeatSender::Targets(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  std::vector<Endpoint> targets = mEntries;
  if (targets.empty() || mLastAnswer + kSilence <= aNow) {
    AddMissing(targets, mSettings.mEntries);
  }
  std::erase_if(targets, [this](const Endpoint& aEntry) {
    return std::exchange(mPeers[aEntry].mBusy, true);
  });
  return targets;
}

void HeartbeatSender::SendOne(const Endpoint& aEntry,
                              std::uint64_t aSequence,
                              Json::Value aBody)
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
    NoteAnswer(aEntry, nullptr);
    return;
  }
  NoteAnswer(aEntry, &*reply);
  mHooks.mOnReply(aSequence, *reply);
  std::uint64_t answered = mAnswered;
  while (answered < aSequence &&
         !mAnswered.compare_exchange_weak(answered, aSequence)) {
  }
}

void HeartbeatSender::NoteAnswer(const Endpoint& aEntry,
                                 const HeartbeatReply* aReply)
{
  const std::lock_guard lock(mMutex);
  Peer& peer = mPeers[aEntry];
  peer.mBusy = false;
  if (peer.mAnswers != (aReply != nullptr)) {
    peer.mAnswers = aReply != nullptr;
    LogChange(peer.mAnswers ? "entry-answers" : "entry-silent",
              { { "entry", aEntry } });
  }
  if (aReply != nullptr) {
    peer.mAnsweredAt = mLastAnswer = MonotonicNow();
    if (!aReply->mEntries.empty()) {
      mEntries = aReply->mEntries;
    }
  }
  std::erase_if(mPeers, [this](const auto& aPeer) {
    return !aPeer.second.mBusy && !aPeer.second.mAnswers &&
           std::find(mEntries.begin(), mEntries.end(), aPeer.first) ==
             mEntries.end();
  });
}

Json::Value HeartbeatSender::StateJson() const
{
  const std::lock_guard lock(mMutex);
  Json::Value object(Json::objectValue);
  object["sequence"] = Json::UInt64{ mSequence.load() };
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
