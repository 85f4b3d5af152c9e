#include "standins/worker/WorkerService.h"

#include <utility>

#include <boost/fiber/operations.hpp>

#include "src/core/message/Codec.h"
#include "src/platform/worker/WorkerMessages.h"

#include "src/net/JsonResponse.h"

namespace foxtailbarrow::standin {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;

/// HttpServer closes the connection without a response.
constexpr unsigned kNoResponse = 0;

absl::StatusOr<Json::Value> Done(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    return aStatus;
  }
  return Json::Value(Json::objectValue);
}

} // namespace

WorkerService::WorkerService(TaskRunnerSettings aSettings)
  : mRunner(aSettings)
{
  AddMethods();
}

void WorkerService::Add(const char* aName, Method aMethod)
{
  mDispatcher.Add(
    aName, [this, method = std::move(aMethod)](const Json::Value& aParams) {
      const std::lock_guard lock(mMutex);
      return method(aParams);
    });
}

void WorkerService::AddMethods()
{
  Add(kWorkerView, [this](const Json::Value&) -> absl::StatusOr<Json::Value> {
    return ToJson(mRunner.View(MonotonicNow()));
  });
  Add(kWorkerStart,
      [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
        const auto start = FromJson<TaskStart>(aParams);
        return Done(start.ok() ? mRunner.Start(*start, MonotonicNow())
                               : start.status());
      });
  Add(kWorkerRenew,
      [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
        const auto renew = RenewFromJson(aParams);
        return Done(renew.ok() ? mRunner.Renew(
                                   renew->mKeys, renew->mLease, MonotonicNow())
                               : renew.status());
      });
  Add(kWorkerCheckpoint,
      [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
        const auto key = FromJson<TaskKey>(aParams);
        if (!key.ok()) {
          return key.status();
        }
        const auto reference = mRunner.Checkpoint(*key, MonotonicNow());
        if (!reference.ok()) {
          return reference.status();
        }
        return CheckpointToJson(*reference);
      });
  Add(kWorkerThrottle,
      [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
        const auto throttle = ThrottleFromJson(aParams);
        return Done(throttle.ok() ? mRunner.Throttle(throttle->mKey,
                                                     throttle->mFraction,
                                                     MonotonicNow())
                                  : throttle.status());
      });
  Add(kWorkerStop,
      [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
        const auto key = FromJson<TaskKey>(aParams);
        return Done(key.ok() ? mRunner.Stop(*key, MonotonicNow())
                             : key.status());
      });
  Add(kWorkerAcknowledge,
      [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
        const auto keys = KeysFromJson(aParams);
        return Done(keys.ok() ? mRunner.Acknowledge(*keys) : keys.status());
      });
}

net::HttpResponse WorkerService::Handle(const net::HttpRequest& aRequest)
{
  if (aRequest.mTarget == net::kRpcTarget) {
    return HandleRpc(aRequest);
  }
  if (aRequest.mTarget == "/standin/faults") {
    return SetFaults(aRequest);
  }
  if (aRequest.mTarget == "/standin/events") {
    return net::JsonResponse(200, EventsJson());
  }
  if (aRequest.mTarget == "/standin/counts") {
    return net::JsonResponse(200, CountsJson());
  }
  return net::JsonResponse(kNotFound, "unknown target");
}

net::HttpResponse WorkerService::HandleRpc(const net::HttpRequest& aRequest)
{
  net::HttpResponse response = mDispatcher.Handle(aRequest);
  Duration delay{};
  {
    const std::lock_guard lock(mMutex);
    delay = mFaults.mDelay;
    if (mFaults.mLoseReplies > 0) {
      --mFaults.mLoseReplies;
      response = {};
      response.mStatus = kNoResponse;
    }
  }
  if (delay > Duration{}) {
    boost::this_fiber::sleep_for(delay);
  }
  return response;
}

net::HttpResponse WorkerService::SetFaults(const net::HttpRequest& aRequest)
{
  const auto value = ParseJson(aRequest.mBody);
  const auto faults =
    value.ok() ? WorkerFaultsFromJson(*value) : value.status();
  if (!faults.ok()) {
    return net::JsonResponse(kBadRequest,
                             std::string(faults.status().message()));
  }
  const std::lock_guard lock(mMutex);
  mFaults = *faults;
  mRunner.FailAll(mFaults.mFailAll);
  return net::JsonResponse(200, Json::Value(Json::objectValue));
}

void WorkerService::Tick()
{
  const std::lock_guard lock(mMutex);
  mRunner.Advance(MonotonicNow());
}

Json::Value WorkerService::EventsJson()
{
  const std::lock_guard lock(mMutex);
  mRunner.Advance(MonotonicNow());
  Json::Value list(Json::arrayValue);
  for (const TaskEvent& event : mRunner.Events()) {
    Json::Value object(Json::objectValue);
    object["kind"] = std::string(ToString(event.mKind));
    object["job"] = event.mKey.mJob.Value();
    object["epoch"] = Json::UInt64{ event.mKey.mEpoch };
    object["atUs"] = Json::Int64{ event.mAt.time_since_epoch().count() };
    object["doneUs"] = Json::Int64{ event.mDone.count() };
    list.append(std::move(object));
  }
  return list;
}

Json::Value WorkerService::CountsJson()
{
  const std::lock_guard lock(mMutex);
  mRunner.Advance(MonotonicNow());
  Json::Value object(Json::objectValue);
  object["events"] = Json::UInt64{ mRunner.Events().size() };
  object["doubled"] = Json::UInt64{ mRunner.Overlapping() };
  object["overcommitted"] = Json::UInt64{ mRunner.Overcommitted() };
  return object;
}

} // namespace foxtailbarrow::standin
