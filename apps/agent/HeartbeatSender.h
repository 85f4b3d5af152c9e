#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include <json/value.h>

#include "apps/agent/AgentSettings.h"
#include "apps/agent/FiberGroup.h"
#include "apps/agent/Poke.h"
#include "foxtailbarrow/Messages.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Announces the agent to every live entry and hands on what they answer.
///
/// Entries are those of the settings until one answers, then those that the
/// latest answer named; the settings' ones are tried again when nobody has
/// answered for a while. An entry that has not answered its last heartbeat yet
/// is left out of a round.
class HeartbeatSender
{
public:
  struct Hooks
  {
    /// Fills everything but the sequence.
    std::function<void(Heartbeat&)> mFill;
    /// Called before a round is sent, with the time that leases count from.
    std::function<void(std::uint64_t, Instant)> mOnSend;
    std::function<void(std::uint64_t, const HeartbeatReply&)> mOnReply;
  };

  HeartbeatSender(const AgentSettings& aSettings,
                  net::FiberRuntime& aRuntime,
                  net::HttpClient& aClient,
                  Metrics& aMetrics,
                  Hooks aHooks);

  void Start();

  /// Ends its fibers. Not to be called by a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  /// Sends a round at once.
  void SendNow() { mPoke.Now(); }

  /// Rounds that at least one entry has answered.
  std::uint64_t AnsweredSequence() const { return mAnswered; }
  std::uint64_t SentSequence() const { return mSequence; }

  /// When an entry answered last.
  Instant LastAnswer() const;

  /// For the state dump.
  Json::Value StateJson() const;

private:
  struct Peer
  {
    bool mBusy = false; ///< A heartbeat is under way.
    bool mAnswers = false;
    Instant mAnsweredAt{};
  };

  void SendRound();
  std::vector<Endpoint> Targets(Instant aNow);
  void SendOne(const Endpoint& aEntry,
               std::uint64_t aSequence,
               Json::Value aBody);
  void NoteAnswer(const Endpoint& aEntry, const HeartbeatReply* aReply);

  const AgentSettings& mSettings;
  net::RpcClient mRpc;
  const Hooks mHooks;
  Poke mPoke;
  FiberGroup mFibers;
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::atomic<std::uint64_t> mAnswered{ 0 };
  mutable std::mutex mMutex; ///< Guards what follows.
  std::vector<Endpoint> mEntries;
  std::map<Endpoint, Peer> mPeers;
  Instant mLastAnswer{};
  prometheus::Counter& mSent;
  prometheus::Counter& mFailed;
};

} // namespace foxtailbarrow
