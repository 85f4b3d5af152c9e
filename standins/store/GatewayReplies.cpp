#include "standins/store/GatewayReplies.h"

#include <chrono>

#include "src/platform/store/GatewayJson.h"

namespace foxtailbarrow::etcd {

namespace {

constexpr unsigned kNoResponse = 0;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kInternalError = 500;
constexpr unsigned kServiceUnavailable = 503;

void SetRevision(Json::Value& aReply, Revision aRevision)
{
  aReply["header"]["revision"] = EncodeInteger(aRevision);
}

Json::Value EncodeEntry(const StoreEntry& aEntry)
{
  Json::Value entry(Json::objectValue);
  entry["key"] = EncodeBytes(aEntry.mKey);
  entry["mod_revision"] = EncodeInteger(aEntry.mModRevision);
  if (!aEntry.mValue.empty()) {
    entry["value"] = EncodeBytes(aEntry.mValue);
  }
  if (aEntry.mLease != 0) {
    entry["lease"] = EncodeInteger(aEntry.mLease);
  }
  return entry;
}

Json::Value EncodeEvent(const StoreEvent& aEvent)
{
  Json::Value event(Json::objectValue);
  if (!aEvent.mValue) {
    event["type"] = "DELETE";
  }
  event["kv"] = EncodeEntry(
    { aEvent.mKey, aEvent.mValue.value_or(""), aEvent.mModRevision, 0 });
  return event;
}

std::int64_t Seconds(Duration aSpan)
{
  return std::chrono::ceil<std::chrono::seconds>(aSpan).count();
}

Json::Value EncodeLeaseState(StoreLease aLease, Duration aTtl)
{
  Json::Value state(Json::objectValue);
  state["ID"] = EncodeInteger(aLease);
  if (aTtl > Duration::zero()) {
    state["TTL"] = EncodeInteger(Seconds(aTtl));
  }
  return state;
}

Json::Value Result(Json::Value aResult)
{
  Json::Value line(Json::objectValue);
  line["result"] = std::move(aResult);
  return line;
}

unsigned HttpStatusOf(const absl::Status& aError)
{
  switch (aError.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kOutOfRange:
      return kBadRequest;
    case absl::StatusCode::kNotFound:
      return kNotFound;
    case absl::StatusCode::kResourceExhausted:
      return kServiceUnavailable;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
      return kNoResponse;
    default:
      return kInternalError;
  }
}

} // namespace

Json::Value EncodePage(const KeyValuePage& aPage)
{
  Json::Value reply(Json::objectValue);
  SetRevision(reply, aPage.mRevision);
  for (const StoreEntry& entry : aPage.mEntries) {
    reply["kvs"].append(EncodeEntry(entry));
  }
  if (aPage.mMore) {
    reply["more"] = true;
  }
  return reply;
}

Json::Value EncodeTxnReply(const StoreTransactionResult& aResult)
{
  Json::Value reply(Json::objectValue);
  SetRevision(reply, aResult.mRevision);
  if (aResult.mApplied) {
    reply["succeeded"] = true;
  }
  return reply;
}

Json::Value EncodeGrantReply(StoreLease aLease, Duration aTtl)
{
  return EncodeLeaseState(aLease, aTtl);
}

Json::Value EncodeKeepAliveReply(StoreLease aLease, Duration aTtl)
{
  return Result(EncodeLeaseState(aLease, aTtl));
}

Json::Value EncodeEmptyReply()
{
  return Json::objectValue;
}

Json::Value EncodeWatchCreated()
{
  Json::Value result(Json::objectValue);
  result["created"] = true;
  return Result(std::move(result));
}

Json::Value EncodeWatchEvents(const std::vector<StoreEvent>& aEvents)
{
  Json::Value result(Json::objectValue);
  for (const StoreEvent& event : aEvents) {
    result["events"].append(EncodeEvent(event));
  }
  return Result(std::move(result));
}

Json::Value EncodeWatchCanceled(Revision aStart)
{
  Json::Value result(Json::objectValue);
  result["canceled"] = true;
  result["compact_revision"] = EncodeInteger(aStart);
  return Result(std::move(result));
}

Json::Value EncodeError(const absl::Status& aError)
{
  Json::Value error(Json::objectValue);
  const std::string text =
    "etcdserver: " +
    std::string(aError.message().data(), aError.message().size());
  error["error"] = text;
  error["message"] = text;
  error["code"] = static_cast<int>(aError.code());
  return error;
}

net::HttpResponse JsonResponse(unsigned aStatus, const Json::Value& aBody)
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mBody = WriteLine(aBody);
  return response;
}

net::HttpResponse ErrorResponse(const absl::Status& aError)
{
  const unsigned status = HttpStatusOf(aError);
  if (status == kNoResponse) {
    net::HttpResponse none;
    none.mStatus = kNoResponse;
    return none;
  }
  return JsonResponse(status, EncodeError(aError));
}

} // namespace foxtailbarrow::etcd
