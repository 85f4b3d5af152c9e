#include "apps/scheduler/CordonSpread.h"

#include <chrono>

#include "src/core/message/Codec.h"
#include "src/net/FiberGroup.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(500);
constexpr Duration kRetry = std::chrono::milliseconds(200);

} // namespace

CordonSpread::CordonSpread(net::RpcClient& aRpc, const Election& aElection)
  : mRpc(aRpc)
  , mElection(aElection)
{
}

void CordonSpread::OnChange(const CordonTable& aCordons)
{
  mUntold = aCordons.Rows();
  mWaker.Wake();
}

Duration CordonSpread::Round()
{
  if (mElection.Term()) {
    mUntold.clear(); // The owner in this process knows them.
  }
  if (mUntold.empty()) {
    return FiberGroup::kUntilWoken;
  }
  const auto at = mElection.OwnerAt();
  if (!at) {
    return kRetry;
  }
  const CordonRows rows{ mUntold };
  const auto reply = net::CallTyped<CordonRowsReply>(
    mRpc, *at, kCordonRowsMethod, rows, kTimeout);
  if (reply.ok() && reply->mOwner) {
    if (mUntold == rows.mRows) {
      mUntold.clear();
    }
    return mUntold.empty() ? FiberGroup::kUntilWoken : Duration(1);
  }
  LogDebug(
    "cordons-not-told",
    { { "owner", *at },
      { "error", reply.ok() ? "no owner" : reply.status().ToString() } });
  return kRetry;
}

} // namespace foxtailbarrow::scheduler
