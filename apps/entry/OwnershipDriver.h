#pragma once

#include <functional>

#include "apps/entry/ControlContext.h"
#include "src/core/ownership/ShardOwnership.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow::entry {

/// Runs ShardOwnership: executes its store calls, sends its messages to other
/// entries, and reports acquired and lost shards through callbacks.
class OwnershipDriver
{
public:
  struct Callbacks
  {
    std::function<void(ShardId, Generation)> mAcquired;
    std::function<void(ShardId)> mReleased;
    /// All leases granted by earlier owners have expired.
    std::function<void(ShardId)> mEarlierLeasesExpired;
    std::function<void()> mSuperseded; ///< This process must exit.
    std::function<void()> mDrained;
  };

  OwnershipDriver(ControlContext& aContext,
                  const OwnershipSettings& aSettings,
                  const EntryRecord& aSelf,
                  Callbacks aCallbacks);

  /// Registers `entry.attest` and `entry.promise`.
  void AddMethods(net::RpcDispatcher& aDispatcher);

  /// Starts the tick fiber.
  void Start();

  /// Releases every shard, then calls mDrained.
  void Drain();

  const ShardOwnership& Ownership() const { return mOwnership; }

private:
  void Handle(const OwnershipEvent& aEvent);

  void Run(const StoreRequest& aAction);
  void Run(const ShardGained& aAction);
  void Run(const ShardGivenUp& aAction);
  void Run(const EarlierLeasesExpired& aAction);
  void Run(const SendAttest& aAction);
  void Run(const SendPromise& aAction);
  void Run(const Superseded& aAction);
  void Run(const Drained& aAction);

  template<typename Reply, typename Action>
  void Send(const Action& aAction, const char* aMethod);

  ControlContext& mContext;
  ShardOwnership mOwnership;
  Callbacks mCallbacks;
};

} // namespace foxtailbarrow::entry
