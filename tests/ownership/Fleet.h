#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/core/ownership/ShardOwnership.h"
#include "tests/ownership/ModelStore.h"

namespace foxtailbarrow::test {

using namespace std::chrono_literals;

inline constexpr unsigned kMainSide = 1;

/// A process with its own clock, which can be paused, killed or partitioned.
struct Node
{
  std::string mName;
  double mRate = 1.0; ///< Clock rate.
  bool mUp = true;
  /// Incremented at each start; deliveries to an older one are dropped.
  int mIncarnation = 0;
  unsigned mSides = kMainSide; ///< Nodes that share a bit can reach each other.
  bool mReachesStore = true;
  Duration mPausedUntil{}; ///< True time.

  Instant Local(Duration aTrue) const
  {
    return Instant(1h + std::chrono::duration_cast<Duration>(aTrue * mRate));
  }
};

/// Behavior of the network and the store; fractions from 0 to 1.
struct NetworkConditions
{
  Duration mDelay = 2ms;     ///< Mean one-way delay.
  double mLostReplies = 0.0; ///< Store replies lost after the effect.
  double mLost = 0.0;        ///< Messages and calls lost before the effect.
  double mStraggling = 0.0;  ///< Deliveries delayed by up to 15 s.
  bool mStoreDown = false;
};

/// Entries around a model store, driven in virtual time.
class Fleet
{
public:
  using Task = std::function<void()>;

  Fleet(const OwnershipSettings& aSettings, std::size_t aEntries, int aSeed);
  virtual ~Fleet() = default;

  void RunFor(Duration aSpan);
  Duration Now() const { return mNow; }

  void Start(std::size_t aEntry);
  void Kill(std::size_t aEntry) { mEntries[aEntry].mUp = false; }
  void DrainEntry(std::size_t aEntry);
  void Pause(Node& aNode, Duration aSpan) { aNode.mPausedUntil = mNow + aSpan; }

  Node& EntryNode(std::size_t aEntry) { return mEntries[aEntry]; }
  ShardOwnership& Owner(std::size_t aEntry) { return *mOwners[aEntry]; }
  Instant LocalNow(std::size_t aEntry) const
  {
    return mEntries[aEntry].Local(mNow);
  }
  std::size_t Size() const { return mEntries.size(); }
  bool HasDrained(std::size_t aEntry) const
  {
    return mDrained.contains(aEntry);
  }

  /// Number of running entries that may extend task leases of the shard.
  std::size_t Holders(ShardId aShard) const;

  ModelStore mStore;
  NetworkConditions mNetwork;
  OwnershipSettings mSettings;

  /// Mutation: voters attest tenures in spite of their promises.
  bool mVotersIgnorePromises = false;
  std::uint64_t mMessages = 0;

protected:
  virtual void OnShards(std::size_t /*aEntry*/, const OwnershipActions&) {}
  virtual void OnTick(std::size_t /*aEntry*/) {}

  void At(Duration aTime, Task aTask);

  /// Runs `aTask` on `aNode` after the delay; later if the node is paused,
  /// never if it was killed.
  void Deliver(Node& aNode, Duration aDelay, Task aTask);
  void Every(Node& aNode, Duration aLocalSpan, Task aTask);
  void CallStore(Node& aNode,
                 StoreCommand aCall,
                 std::function<void(const StoreResult&)> aOnResult);
  void Send(Node& aFrom, Node& aTo, Task aTask);

  Duration Delay();
  bool Chance(double aChance);

  std::mt19937 mRandom;
  std::vector<Node> mEntries;

private:
  void Handle(std::size_t aEntry, const OwnershipEvent& aEvent);
  void Act(std::size_t aEntry, const StoreRequest& aAction);
  void Act(std::size_t aEntry, const SendAttest& aAction);
  void Act(std::size_t aEntry, const SendPromise& aAction);
  void Act(std::size_t, const ShardGained&) {}
  void Act(std::size_t, const ShardGivenUp&) {}
  void Act(std::size_t, const EarlierLeasesExpired&) {}
  void Act(std::size_t aEntry, const Superseded&) { Kill(aEntry); }
  void Act(std::size_t aEntry, const Drained&) { mDrained.insert(aEntry); }
  std::size_t Index(const EntryId& aEntry) const;

  Duration mNow{};
  std::multimap<Duration, Task> mQueue;
  std::vector<std::unique_ptr<ShardOwnership>> mOwners;
  std::set<std::size_t> mDrained;
};

} // namespace foxtailbarrow::test
