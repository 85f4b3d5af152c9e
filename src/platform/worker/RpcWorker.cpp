#include "src/platform/worker/RpcWorker.h"

#include <utility>

#include "foxtailbarrow/Verdict.h"
#include "src/core/message/Codec.h"
#include "src/platform/worker/WorkerMessages.h"

namespace foxtailbarrow {

RpcWorker::RpcWorker(net::HttpClient& aClient,
                     Endpoint aEndpoint,
                     Duration aTimeout)
  : mRpc(aClient)
  , mEndpoint(std::move(aEndpoint))
  , mTimeout(aTimeout)
{
}

absl::StatusOr<Json::Value> RpcWorker::Call(std::string_view aMethod,
                                            const Json::Value& aParams)
{
  return mRpc.Call(mEndpoint, aMethod, aParams, mTimeout);
}

absl::StatusOr<WorkerView> RpcWorker::View()
{
  const auto result = Call(kWorkerView, Json::Value(Json::objectValue));
  if (!result.ok()) {
    return result.status();
  }
  return FromJson<WorkerView>(*result);
}

absl::Status RpcWorker::Start(const TaskStart& aStart)
{
  return Call(kWorkerStart, ToJson(aStart)).status();
}

absl::Status RpcWorker::Renew(std::span<const TaskKey> aKeys, Duration aLease)
{
  return Call(kWorkerRenew, RenewToJson(aKeys, aLease)).status();
}

absl::StatusOr<std::string> RpcWorker::Checkpoint(const TaskKey& aKey)
{
  const auto result = Call(kWorkerCheckpoint, ToJson(aKey));
  if (!result.ok()) {
    return result.status();
  }
  absl::StatusOr<std::string> reference = CheckpointFromJson(*result);
  if (!reference.ok()) {
    return WithVerdict(absl::InternalError(reference.status().message()),
                       Verdict::MayHaveRun);
  }
  return reference;
}

absl::Status RpcWorker::Throttle(const TaskKey& aKey, double aFraction)
{
  return Call(kWorkerThrottle, ThrottleToJson(aKey, aFraction)).status();
}

absl::Status RpcWorker::Stop(const TaskKey& aKey)
{
  return Call(kWorkerStop, ToJson(aKey)).status();
}

absl::Status RpcWorker::Acknowledge(std::span<const TaskKey> aKeys)
{
  return Call(kWorkerAcknowledge, KeysToJson(aKeys)).status();
}

} // namespace foxtailbarrow
