#include "src/platform/store/EtcdCodec.h"

#include <chrono>
#include <optional>
#include <utility>

#include "src/platform/store/GatewayJson.h"

namespace foxtailbarrow::etcd {

namespace {

/// As a range end: unbounded. As a key: the smallest valid one.
constexpr std::string_view kZeroByte("\0", 1);

absl::Status Unexpected(const char* aField)
{
  return absl::InternalError(
    std::string("the reply of the store has an unexpected ") + aField);
}

const Json::Value& Member(const Json::Value& aObject, const char* aName)
{
  return aObject.isObject() ? aObject[aName] : Json::Value::nullSingleton();
}

void SetRange(Json::Value& aRequest, const KeyRange& aRange)
{
  // An empty key is not valid.
  const std::string_view begin =
    aRange.mBegin.empty() ? kZeroByte : std::string_view(aRange.mBegin);
  aRequest["key"] = EncodeBytes(begin);
  aRequest["range_end"] =
    EncodeBytes(aRange.mEnd ? std::string_view(*aRange.mEnd) : kZeroByte);
}

std::optional<Revision> HeaderRevision(const Json::Value& aReply)
{
  return DecodeInteger(Member(Member(aReply, "header"), "revision"));
}

std::optional<StoreEntry> DecodeEntry(const Json::Value& aEntry)
{
  auto key = DecodeBytes(Member(aEntry, "key"));
  auto value = DecodeBytes(Member(aEntry, "value"));
  const auto revision = DecodeInteger(Member(aEntry, "mod_revision"));
  const auto lease = DecodeInteger(Member(aEntry, "lease"));
  if (!key || key->empty() || !value || !revision || !lease) {
    return std::nullopt;
  }
  return StoreEntry{ *std::move(key), *std::move(value), *revision, *lease };
}

Json::Value EncodeCompare(const StoreCompare& aCompare)
{
  Json::Value compare(Json::objectValue);
  compare["key"] = EncodeBytes(aCompare.mKey);
  compare["target"] = "MOD";
  compare["result"] = "EQUAL";
  compare["mod_revision"] = EncodeInteger(aCompare.mModRevision);
  return compare;
}

Json::Value EncodeWrite(const StoreWrite& aWrite)
{
  Json::Value request(Json::objectValue);
  const char* const kind =
    aWrite.mValue ? "request_put" : "request_delete_range";
  Json::Value& operation = request[kind];
  operation["key"] = EncodeBytes(aWrite.mKey);
  if (aWrite.mValue) {
    operation["value"] = EncodeBytes(*aWrite.mValue);
  }
  if (aWrite.mLease != 0) {
    operation["lease"] = EncodeInteger(aWrite.mLease);
  }
  return request;
}

absl::StatusOr<StoreEvent> DecodeEvent(const Json::Value& aEvent)
{
  std::optional<StoreEntry> entry = DecodeEntry(Member(aEvent, "kv"));
  if (!entry) {
    return Unexpected("event");
  }
  const Json::Value& type = Member(aEvent, "type");
  StoreEvent event{ std::move(entry->mKey),
                    std::move(entry->mValue),
                    entry->mModRevision };
  if (type == "DELETE") {
    event.mValue.reset();
  } else if (!type.isNull() && type != "PUT") {
    return Unexpected("type of event");
  }
  return event;
}

absl::Status WatchEnded(const Json::Value& aResult)
{
  const auto compacted = DecodeInteger(Member(aResult, "compact_revision"));
  if (compacted && *compacted > 0) {
    return absl::OutOfRangeError("required revision has been compacted");
  }
  return absl::UnavailableError("the store ended the watch");
}

} // namespace

Json::Value EncodeRange(const KeyRange& aRange,
                        std::size_t aLimit,
                        Revision aAt)
{
  Json::Value request(Json::objectValue);
  SetRange(request, aRange);
  request["limit"] = EncodeInteger(static_cast<std::int64_t>(aLimit));
  if (aAt != 0) {
    request["revision"] = EncodeInteger(aAt);
  }
  return request;
}

Json::Value EncodeTransaction(const StoreTransaction& aTransaction)
{
  Json::Value request(Json::objectValue);
  Json::Value& compares = request["compare"] = Json::arrayValue;
  for (const StoreCompare& compare : aTransaction.mCompares) {
    compares.append(EncodeCompare(compare));
  }
  Json::Value& writes = request["success"] = Json::arrayValue;
  for (const StoreWrite& write : aTransaction.mWrites) {
    writes.append(EncodeWrite(write));
  }
  return request;
}

Json::Value EncodeGrant(Duration aTtl)
{
  Json::Value request(Json::objectValue);
  request["TTL"] =
    EncodeInteger(std::chrono::ceil<std::chrono::seconds>(aTtl).count());
  return request;
}

Json::Value EncodeLease(StoreLease aLease)
{
  Json::Value request(Json::objectValue);
  request["ID"] = EncodeInteger(aLease);
  return request;
}

Json::Value EncodeWatch(const KeyRange& aRange, Revision aFrom)
{
  Json::Value request(Json::objectValue);
  Json::Value& create = request["create_request"] = Json::objectValue;
  SetRange(create, aRange);
  create["start_revision"] = EncodeInteger(aFrom + 1);
  return request;
}

absl::StatusOr<KeyValuePage> DecodePage(const Json::Value& aReply)
{
  KeyValuePage page;
  const auto revision = HeaderRevision(aReply);
  if (!revision) {
    return Unexpected("revision");
  }
  page.mRevision = *revision;
  const Json::Value& entries = Member(aReply, "kvs");
  if (!entries.isNull() && !entries.isArray()) {
    return Unexpected("list of keys");
  }
  for (const Json::Value& item : entries) {
    std::optional<StoreEntry> entry = DecodeEntry(item);
    if (!entry) {
      return Unexpected("key");
    }
    page.mEntries.push_back(*std::move(entry));
  }
  page.mMore = Member(aReply, "more") == true;
  return page;
}

absl::StatusOr<StoreTransactionResult> DecodeTransaction(
  const Json::Value& aReply)
{
  const auto revision = HeaderRevision(aReply);
  const Json::Value& succeeded = Member(aReply, "succeeded");
  if (!revision || *revision <= 0) {
    return Unexpected("revision");
  }
  if (!succeeded.isNull() && !succeeded.isBool()) {
    return Unexpected("outcome");
  }
  return StoreTransactionResult{ succeeded == true, *revision };
}

absl::StatusOr<StoreLease> DecodeGrant(const Json::Value& aReply)
{
  const auto lease = DecodeInteger(Member(aReply, "ID"));
  if (!lease || *lease == 0) {
    return Unexpected("lease");
  }
  return *lease;
}

absl::StatusOr<Duration> DecodeKeepAlive(const Json::Value& aReply)
{
  const auto seconds = DecodeInteger(Member(Member(aReply, "result"), "TTL"));
  if (!seconds) {
    return Unexpected("time to live");
  }
  if (*seconds <= 0) {
    return absl::NotFoundError("lease not found");
  }
  return Duration(std::chrono::seconds(*seconds));
}

absl::StatusOr<std::vector<StoreEvent>> DecodeWatchLine(std::string_view aLine)
{
  const auto line = ParseObject(aLine);
  if (!line.ok()) {
    return absl::InternalError(line.status().message());
  }
  const Json::Value& result = Member(*line, "result");
  if (!result.isObject()) {
    return absl::UnavailableError("the store ended the watch");
  }
  if (Member(result, "canceled") == true) {
    return WatchEnded(result);
  }
  std::vector<StoreEvent> events;
  const Json::Value& items = Member(result, "events");
  if (!items.isNull() && !items.isArray()) {
    return Unexpected("list of events");
  }
  for (const Json::Value& item : items) {
    auto event = DecodeEvent(item);
    if (!event.ok()) {
      return event.status();
    }
    events.push_back(*std::move(event));
  }
  return events;
}

} // namespace foxtailbarrow::etcd
