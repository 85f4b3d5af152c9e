#include "src/platform/worker/WorkerMessages.h"

#include "src/core/message/Codec.h"

namespace foxtailbarrow {

namespace {

absl::Status Malformed(const char* aMessage)
{
  return absl::InvalidArgumentError(aMessage);
}

} // namespace

Json::Value KeysToJson(std::span<const TaskKey> aKeys)
{
  Json::Value list(Json::arrayValue);
  for (const TaskKey& key : aKeys) {
    list.append(ToJson(key));
  }
  Json::Value object(Json::objectValue);
  object["keys"] = std::move(list);
  return object;
}

absl::StatusOr<std::vector<TaskKey>> KeysFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["keys"].isArray()) {
    return Malformed("keys: must be an array of task keys");
  }
  std::vector<TaskKey> keys;
  for (const Json::Value& element : aValue["keys"]) {
    absl::StatusOr<TaskKey> key = FromJson<TaskKey>(element);
    if (!key.ok()) {
      return key.status();
    }
    keys.push_back(*std::move(key));
  }
  return keys;
}

Json::Value RenewToJson(std::span<const TaskKey> aKeys, Duration aLease)
{
  Json::Value object = KeysToJson(aKeys);
  object["leaseUs"] = Json::Int64{ aLease.count() };
  return object;
}

absl::StatusOr<RenewRequest> RenewFromJson(const Json::Value& aValue)
{
  absl::StatusOr<std::vector<TaskKey>> keys = KeysFromJson(aValue);
  if (!keys.ok()) {
    return keys.status();
  }
  if (!aValue["leaseUs"].isInt64() || aValue["leaseUs"].asInt64() < 0) {
    return Malformed("leaseUs: must be an integer >= 0");
  }
  return RenewRequest{ *std::move(keys),
                       Duration(aValue["leaseUs"].asInt64()) };
}

Json::Value ThrottleToJson(const TaskKey& aKey, double aFraction)
{
  Json::Value object(Json::objectValue);
  object["key"] = ToJson(aKey);
  object["fraction"] = aFraction;
  return object;
}

absl::StatusOr<ThrottleRequest> ThrottleFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["fraction"].isNumeric()) {
    return Malformed("fraction: must be a number");
  }
  absl::StatusOr<TaskKey> key = FromJson<TaskKey>(aValue["key"]);
  if (!key.ok()) {
    return key.status();
  }
  return ThrottleRequest{ *std::move(key), aValue["fraction"].asDouble() };
}

Json::Value CheckpointToJson(const std::string& aReference)
{
  Json::Value object(Json::objectValue);
  object["checkpoint"] = aReference;
  return object;
}

absl::StatusOr<std::string> CheckpointFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["checkpoint"].isString()) {
    return Malformed("checkpoint: must be a string");
  }
  return aValue["checkpoint"].asString();
}

} // namespace foxtailbarrow
