#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "absl/random/random.h"
#include <json/value.h>

#include "apps/agent/AgentSettings.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/membership/HeartbeatSchedule.h"
#include "src/net/FiberGroup.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/net/Waker.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Announces the agent to every live entry, by HeartbeatSchedule, and hands on
/// what they answer.
///
/// Entries are those of the settings until one answers, then those that the
/// latest answer named; the settings' ones are tried again when nobody has
/// answered for a while. An entry that has not answered its last heartbeat yet
/// is left out of a round. A round is one heartbeat, sent to every entry whose
/// turn it is.
class HeartbeatSender
{
public:
  struct Hooks
  {
    /// Fills everything but the sequence and the configuration.
    std::function<void(Heartbeat&)> mFill;
    /// What to state as the configuration to this entry; empty = not known yet.
    std::function<Revision(const EntryId&)> mCursor;
    /// Called before a round is sent, with the time that leases count from.
    std::function<void(std::uint64_t, Instant)> mOnSend;
    /// With the heartbeat that the reply answers.
    std::function<void(const Heartbeat&, const HeartbeatReply&)> mOnReply;
  };

  HeartbeatSender(const AgentSettings& aSettings,
                  net::FiberRuntime& aRuntime,
                  net::HttpClient& aClient,
                  Metrics& aMetrics,
                  Hooks aHooks);

  void Start();

  /// Ends its fibers. Not to be called by a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  /// Sends a round to every entry at once.
  void SendNow();

  /// Of the latest round.
  std::uint64_t SentSequence() const { return mSequence; }

  /// True when every entry that answers has answered this round or a later one,
  /// and at least one has.
  bool Reported(std::uint64_t aSequence) const;

  /// When an entry answered last.
  Instant LastAnswer() const;

  /// For the state dump.
  Json::Value StateJson() const;

private:
  struct Peer
  {
    EntryId mEntry;         ///< Empty before its first answer.
    bool mInFlight = false; ///< A heartbeat is under way.
    bool mAnswers = false;
    Instant mAnsweredAt{};
    std::uint64_t mAnsweredSequence = 0;
  };

  void SendRound();
  Duration NextDelay() const;
  std::vector<Endpoint> Targets(Instant aNow);
  void UpdateEntries(Instant aNow);
  void SendTo(const Endpoint& aEntry, const Heartbeat& aHeartbeat);
  EntryId IdOf(const Endpoint& aEntry) const;
  void OnAnswer(const Endpoint& aEntry,
                std::uint64_t aSequence,
                const HeartbeatReply& aReply,
                std::size_t aBytes);
  void OnNoAnswer(const Endpoint& aEntry);

  const AgentSettings& mSettings;
  net::RpcClient mRpc;
  const Hooks mHooks;
  Waker mWaker;
  FiberGroup mFibers;
  std::atomic<std::uint64_t> mSequence{ 0 };
  std::atomic<bool> mSendToAll{ false };
  mutable std::mutex mMutex; ///< Guards what follows.
  HeartbeatSchedule mSchedule;
  absl::BitGen mRandom;
  std::vector<Endpoint> mEntries; ///< As the latest answer named them.
  std::map<Endpoint, Peer> mPeers;
  Instant mLastAnswer{};
  prometheus::Counter& mSent;
  prometheus::Counter& mFailed;
};

} // namespace foxtailbarrow
