#include "standins/store/GatewayRequests.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "src/platform/store/GatewayJson.h"

namespace foxtailbarrow::etcd {

namespace {

constexpr std::int64_t kMaxTtlSeconds = 9'000'000'000;

absl::Status InvalidField(const char* aField)
{
  return absl::InvalidArgumentError(std::string("invalid field ") + aField);
}

absl::StatusOr<std::string> KeyOf(const Json::Value& aRequest)
{
  std::optional<std::string> key = DecodeBytes(aRequest["key"]);
  if (!key || key->empty()) {
    return InvalidField("key");
  }
  return *std::move(key);
}

absl::StatusOr<std::int64_t> IntegerOf(
  const Json::Value& aRequest,
  const char* aName,
  std::int64_t aMin = 0,
  std::int64_t aMax = std::numeric_limits<std::int64_t>::max())
{
  const auto number = DecodeInteger(aRequest[aName]);
  if (!number || *number < aMin || *number > aMax) {
    return InvalidField(aName);
  }
  return *number;
}

absl::StatusOr<KeyRange> DecodeKeyRange(const Json::Value& aRequest)
{
  auto key = KeyOf(aRequest);
  if (!key.ok()) {
    return key.status();
  }
  auto end = DecodeBytes(aRequest["range_end"]);
  if (!end) {
    return InvalidField("range_end");
  }
  if (end->empty()) {
    return KeyRange::Single(*key);
  }
  if (*end == std::string(1, '\0')) {
    return KeyRange{ *std::move(key), std::nullopt };
  }
  return KeyRange{ *std::move(key), *std::move(end) };
}

absl::StatusOr<StoreCompare> DecodeCompare(const Json::Value& aCompare)
{
  if (!aCompare.isObject() || aCompare["target"] != "MOD" ||
      !(aCompare["result"].isNull() || aCompare["result"] == "EQUAL")) {
    return InvalidField("compare");
  }
  auto key = KeyOf(aCompare);
  if (!key.ok()) {
    return key.status();
  }
  const auto revision = IntegerOf(aCompare, "mod_revision");
  if (!revision.ok()) {
    return revision.status();
  }
  return StoreCompare{ *std::move(key), *revision };
}

absl::StatusOr<StoreWrite> DecodePut(const Json::Value& aPut)
{
  auto key = KeyOf(aPut);
  if (!key.ok()) {
    return key.status();
  }
  auto value = DecodeBytes(aPut["value"]);
  if (!value) {
    return InvalidField("value");
  }
  const auto lease = IntegerOf(aPut, "lease");
  if (!lease.ok()) {
    return lease.status();
  }
  return StoreWrite{ *std::move(key), *std::move(value), *lease };
}

absl::StatusOr<StoreWrite> DecodeDelete(const Json::Value& aDelete)
{
  auto key = KeyOf(aDelete);
  if (!key.ok()) {
    return key.status();
  }
  if (!aDelete["range_end"].isNull()) {
    return InvalidField("range_end");
  }
  return StoreWrite{ *std::move(key), std::nullopt, 0 };
}

absl::StatusOr<StoreWrite> DecodeOperation(const Json::Value& aOperation)
{
  if (!aOperation.isObject() || aOperation.size() != 1) {
    return InvalidField("operation");
  }
  if (const Json::Value& put = aOperation["request_put"]; put.isObject()) {
    return DecodePut(put);
  }
  const Json::Value& erase = aOperation["request_delete_range"];
  return erase.isObject() ? DecodeDelete(erase) : InvalidField("operation");
}

/// Decodes each item of an optional list.
template<typename T>
absl::Status DecodeList(const Json::Value& aList,
                        const char* aName,
                        absl::StatusOr<T> (*aDecode)(const Json::Value&),
                        std::vector<T>& aItems)
{
  if (!aList.isNull() && !aList.isArray()) {
    return InvalidField(aName);
  }
  for (const Json::Value& value : aList) {
    auto item = aDecode(value);
    if (!item.ok()) {
      return item.status();
    }
    aItems.push_back(*std::move(item));
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<RangeRequest> DecodeRangeRequest(const Json::Value& aRequest)
{
  auto range = DecodeKeyRange(aRequest);
  if (!range.ok()) {
    return range.status();
  }
  const auto limit = IntegerOf(aRequest, "limit");
  if (!limit.ok()) {
    return limit.status();
  }
  const auto revision = IntegerOf(aRequest, "revision");
  if (!revision.ok()) {
    return revision.status();
  }
  const bool single = range->mEnd == KeyRange::Single(range->mBegin).mEnd;
  return RangeRequest{
    *std::move(range), single, static_cast<std::size_t>(*limit), *revision
  };
}

absl::StatusOr<StoreTransaction> DecodeTxnRequest(const Json::Value& aRequest)
{
  if (const Json::Value& failure = aRequest["failure"]; !failure.empty()) {
    return InvalidField("failure");
  }
  StoreTransaction transaction;
  absl::Status status = DecodeList(
    aRequest["compare"], "compare", DecodeCompare, transaction.mCompares);
  if (status.ok()) {
    status = DecodeList(
      aRequest["success"], "success", DecodeOperation, transaction.mWrites);
  }
  if (!status.ok()) {
    return status;
  }
  return transaction;
}

absl::StatusOr<StoreTransaction> DecodePutRequest(const Json::Value& aRequest)
{
  auto write = DecodePut(aRequest);
  if (!write.ok()) {
    return write.status();
  }
  return StoreTransaction{ {}, { *std::move(write) } };
}

absl::StatusOr<Duration> DecodeGrantRequest(const Json::Value& aRequest)
{
  const auto seconds = IntegerOf(aRequest, "TTL", 1, kMaxTtlSeconds);
  if (!seconds.ok()) {
    return seconds.status();
  }
  return Duration(std::chrono::seconds(*seconds));
}

absl::StatusOr<StoreLease> DecodeLeaseRequest(const Json::Value& aRequest)
{
  return IntegerOf(aRequest, "ID", 1);
}

absl::StatusOr<WatchRequest> DecodeWatchRequest(const Json::Value& aRequest)
{
  const Json::Value& create = aRequest["create_request"];
  if (!create.isObject()) {
    return InvalidField("create_request");
  }
  auto range = DecodeKeyRange(create);
  if (!range.ok()) {
    return range.status();
  }
  const auto start = IntegerOf(create, "start_revision");
  if (!start.ok()) {
    return start.status();
  }
  return WatchRequest{ *std::move(range), *start };
}

} // namespace foxtailbarrow::etcd
