#include "apps/entry/OwnershipDriver.h"

#include <utility>
#include <variant>

#include <boost/fiber/operations.hpp>

#include "apps/entry/StoreCalls.h"
#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/Time.h"
#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);

} // namespace

OwnershipDriver::OwnershipDriver(ControlContext& aContext,
                                 const OwnershipSettings& aSettings,
                                 const EntryRecord& aSelf,
                                 Callbacks aCallbacks)
  : mContext(aContext)
  , mOwnership(aSettings, aSelf, MonotonicNow())
  , mCallbacks(std::move(aCallbacks))
{
}

void OwnershipDriver::AddMethods(net::RpcDispatcher& aDispatcher)
{
  net::AddTyped<AttestRequest>(
    aDispatcher, kAttestMethod, [this](const AttestRequest& aRequest) {
      return mOwnership.OnAttest(aRequest, MonotonicNow());
    });
  net::AddTyped<PromiseRequest>(
    aDispatcher, kPromiseMethod, [this](const PromiseRequest& aRequest) {
      return mOwnership.OnPromise(aRequest);
    });
}

void OwnershipDriver::Start()
{
  mContext.mRuntime.Spawn([this] {
    while (true) {
      Handle(OwnershipTick{});
      boost::this_fiber::sleep_for(kTickInterval);
    }
  });
}

void OwnershipDriver::Drain()
{
  Handle(OwnershipDrain{});
}

void OwnershipDriver::Handle(const OwnershipEvent& aEvent)
{
  for (const OwnershipAction& action : mOwnership.On(aEvent, MonotonicNow())) {
    std::visit([this](const auto& aAction) { Run(aAction); }, action);
  }
}

void OwnershipDriver::Run(const StoreRequest& aAction)
{
  mContext.mRuntime.Spawn([this, aAction] {
    Handle(
      StoreReply{ aAction.mId, RunStoreCall(mContext.mStore, aAction.mCall) });
  });
}

void OwnershipDriver::Run(const ShardGained& aAction)
{
  LogChange(
    "shard-gained",
    { { "shard", aAction.mShard }, { "generation", aAction.mGeneration } });
  mCallbacks.mAcquired(aAction.mShard, aAction.mGeneration);
}

void OwnershipDriver::Run(const ShardGivenUp& aAction)
{
  LogChange("shard-given-up", { { "shard", aAction.mShard } });
  mCallbacks.mReleased(aAction.mShard);
}

void OwnershipDriver::Run(const EarlierLeasesExpired& aAction)
{
  mCallbacks.mEarlierLeasesExpired(aAction.mShard);
}

void OwnershipDriver::Run(const SendAttest& aAction)
{
  Send<AttestReply>(aAction, kAttestMethod);
}

void OwnershipDriver::Run(const SendPromise& aAction)
{
  Send<PromiseReply>(aAction, kPromiseMethod);
}

/// Sends the action's request. Only a reply becomes an event.
template<typename Reply, typename Action>
void OwnershipDriver::Send(const Action& aAction, const char* aMethod)
{
  mContext.mRuntime.Spawn([this, aAction, aMethod] {
    const auto reply = net::CallTyped<Reply>(mContext.mRpc,
                                             aAction.mEndpoint,
                                             aMethod,
                                             aAction.mRequest,
                                             kPeerTimeout);
    if (reply.ok()) {
      Handle(*reply);
    }
  });
}

void OwnershipDriver::Run(const Superseded&)
{
  LogWarning("entry-superseded", { { "entry", mContext.mSelf } });
  mCallbacks.mSuperseded();
}

void OwnershipDriver::Run(const Drained&)
{
  LogChange("entry-left", { { "entry", mContext.mSelf } });
  mCallbacks.mDrained();
}

} // namespace foxtailbarrow::entry
