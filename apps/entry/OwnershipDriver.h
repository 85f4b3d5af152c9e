#pragma once

#include <functional>

#include "apps/entry/ControlContext.h"
#include "src/core/ownership/ShardOwnership.h"
#include "src/net/Rpc.h"

namespace foxtailbarrow::entry {

/// Runs ShardOwnership: carries its calls to the store and its messages to
/// other entries, and tells the job driver which shards were won and lost.
class OwnershipDriver
{
public:
  struct Callbacks
  {
    std::function<void(ShardId, Generation)> mAcquired;
    std::function<void(ShardId)> mReleased;
    /// No lease of an owner before this one is left.
    std::function<void(ShardId)> mEarlierLeasesExpired;
    std::function<void()> mSuperseded; ///< This process must end.
    std::function<void()> mDrained;
  };

  OwnershipDriver(ControlContext& aContext,
                  const OwnershipSettings& aSettings,
                  const EntryRecord& aSelf,
                  Callbacks aCallbacks);

  /// Registers `entry.attest` and `entry.promise`.
  void AddMethods(net::RpcDispatcher& aDispatcher);

  /// Starts the ticking fiber.
  void Start();

  /// Releases every shard; mDrained is called when done.
  void Drain();

  const ShardOwnership& Logic() const { return mLogic; }

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
  ShardOwnership mLogic;
  Callbacks mCallbacks;
};

} // namespace foxtailbarrow::entry
