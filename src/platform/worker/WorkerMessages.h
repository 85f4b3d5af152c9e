#pragma once

#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

/// Parameters and results of the worker's JSON-RPC methods, for RpcWorker and
/// the stand-in. The FromJson functions check every member.
namespace foxtailbarrow {

inline constexpr char kWorkerView[] = "worker.view";
inline constexpr char kWorkerStart[] = "worker.start";
inline constexpr char kWorkerRenew[] = "worker.renew";
inline constexpr char kWorkerCheckpoint[] = "worker.checkpoint";
inline constexpr char kWorkerThrottle[] = "worker.throttle";
inline constexpr char kWorkerStop[] = "worker.stop";
inline constexpr char kWorkerAcknowledge[] = "worker.acknowledge";

/// Parameters of worker.renew; worker.acknowledge has only the keys.
struct RenewRequest
{
  std::vector<TaskKey> mKeys;
  Duration mLease{};
};

/// Parameters of worker.throttle.
struct ThrottleRequest
{
  TaskKey mKey;
  double mFraction = 1.0;
};

Json::Value KeysToJson(std::span<const TaskKey> aKeys);
absl::StatusOr<std::vector<TaskKey>> KeysFromJson(const Json::Value& aValue);

Json::Value RenewToJson(std::span<const TaskKey> aKeys, Duration aLease);
absl::StatusOr<RenewRequest> RenewFromJson(const Json::Value& aValue);

Json::Value ThrottleToJson(const TaskKey& aKey, double aFraction);
absl::StatusOr<ThrottleRequest> ThrottleFromJson(const Json::Value& aValue);

/// Result of worker.checkpoint.
Json::Value CheckpointToJson(const std::string& aReference);
absl::StatusOr<std::string> CheckpointFromJson(const Json::Value& aValue);

} // namespace foxtailbarrow
