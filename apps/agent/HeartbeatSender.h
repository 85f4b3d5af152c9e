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

/// Sends heartbeats to every live entry, scheduled by HeartbeatSchedule, and
/// passes on the replies.
///
/// The entries are those of the settings until one replies, then those named in
/// the latest reply. Those of the settings are tried again if no entry has
/// replied for a while. A round is one heartbeat, sent to every entry that is
/// due, except entries that have not replied to the last one yet.
class HeartbeatSender
{
public:
  struct Hooks
  {
    /// Fills all fields but the sequence and the configuration.
    std::function<void(Heartbeat&)> mFill;
    /// The configuration revision to report to the entry. The id is empty
    /// before the entry's first reply.
    std::function<Revision(const EntryId&)> mCursor;
    /// Called before a round is sent, with the time that leases count from.
    std::function<void(std::uint64_t, Instant)> mOnSend;
    /// Called with each reply and the heartbeat that it answers.
    std::function<void(const Heartbeat&, const HeartbeatReply&)> mOnReply;
  };

  HeartbeatSender(const AgentSettings& aSettings,
                  net::FiberRuntime& aRuntime,
                  net::HttpClient& aClient,
                  Metrics& aMetrics,
                  Hooks aHooks);

  void Start();

  /// Ends its fibers. Must not be called on a thread of the runtime.
  void Stop() { mFibers.Stop(); }

  /// Sends a round to every entry without waiting for the schedule.
  void SendNow();

  /// Sequence number of the latest round.
  std::uint64_t SentSequence() const { return mSequence; }

  /// True if every responding entry has answered this round or a later one, and
  /// at least one entry responds.
  bool Reported(std::uint64_t aSequence) const;

  /// Time of the latest reply from any entry.
  Instant LastAnswer() const;

  /// For the state dump.
  Json::Value StateJson() const;

private:
  struct Peer
  {
    EntryId mEntry;         ///< Empty before its first reply.
    bool mInFlight = false; ///< A heartbeat awaits its reply.
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
  mutable std::mutex mMutex; ///< Guards the members below.
  HeartbeatSchedule mSchedule;
  absl::BitGen mRandom;
  std::vector<Endpoint> mEntries; ///< As named in the latest reply.
  std::map<Endpoint, Peer> mPeers;
  Instant mLastAnswer{};
  prometheus::Counter& mSent;
  prometheus::Counter& mFailed;
};

} // namespace foxtailbarrow
