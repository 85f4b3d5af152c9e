#include "standins/store/Gateway.h"

#include <string>
#include <string_view>
#include <utility>

#include "src/platform/store/GatewayJson.h"
#include "standins/store/FaultControls.h"
#include "standins/store/GatewayReplies.h"
#include "standins/store/GatewayRequests.h"

namespace foxtailbarrow {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;

/// A value of one mebibyte in base64, and the transaction around it.
constexpr std::size_t kMaxRequestBytes = 4 * kKibibyte * kKibibyte;

/// How often an idle watch checks whether its client has disconnected.
constexpr Duration kWatchCheck = std::chrono::milliseconds(100);

net::HttpResponse Refuse(unsigned aStatus, const char* aReason)
{
  return etcd::JsonResponse(aStatus,
                            etcd::EncodeError(absl::NotFoundError(aReason)));
}

} // namespace

struct Gateway::Route
{
  std::string_view mTarget;
  Call mCall;
};

const Gateway::Route Gateway::kRoutes[] = {
  { etcd::kRangeTarget, &Gateway::Range },
  { etcd::kTxnTarget, &Gateway::Txn },
  { etcd::kPutTarget, &Gateway::Put },
  { etcd::kGrantTarget, &Gateway::Grant },
  { etcd::kKeepAliveTarget, &Gateway::KeepAlive },
  { etcd::kRevokeTarget, &Gateway::Revoke },
  { etcd::kLegacyRevokeTarget, &Gateway::Revoke },
  { kFaultsTarget, &Gateway::SetFaults },
};

Gateway::Gateway(MemoryStore& aStore)
  : mStore(aStore)
{
}

Gateway::~Gateway() = default;

absl::StatusOr<std::unique_ptr<Gateway>> Gateway::Start(
  net::FiberRuntime& aRuntime,
  MemoryStore& aStore,
  const Endpoint& aListen)
{
  std::unique_ptr<Gateway> gateway(new Gateway(aStore));
  Gateway* const self = gateway.get();
  net::HttpServerLimits limits;
  limits.mMaxBodyBytes = kMaxRequestBytes;
  auto server = net::HttpServer::Start(
    aRuntime,
    aListen,
    [self](net::HttpRequest& aRequest) { return self->Handle(aRequest); },
    limits,
    [self](net::HttpRequest& aRequest, net::HttpStreamWriter& aWriter) {
      self->HandleWatch(aRequest, aWriter);
    },
    std::string(etcd::kWatchTarget));
  if (!server.ok()) {
    return server.status();
  }
  gateway->mServer = *std::move(server);
  return gateway;
}

net::HttpResponse Gateway::Handle(const net::HttpRequest& aRequest)
{
  if (aRequest.mTarget == kCountersTarget) {
    return etcd::JsonResponse(
      kOk, EncodeCounters(mStore.Counts(), mMalformed.load()));
  }
  for (const auto& [target, call] : kRoutes) {
    if (aRequest.mTarget == target) {
      return aRequest.mMethod == "POST"
               ? HandleCall(aRequest, call)
               : Refuse(kMethodNotAllowed, "only POST is allowed");
    }
  }
  return Refuse(kNotFound, "no such target");
}

net::HttpResponse Gateway::HandleCall(const net::HttpRequest& aRequest,
                                      Call aCall)
{
  const auto request = etcd::ParseObject(aRequest.mBody);
  const Reply reply =
    request.ok() ? (this->*aCall)(*request) : Reply(request.status());
  if (reply.ok()) {
    return etcd::JsonResponse(kOk, *reply);
  }
  if (absl::IsInvalidArgument(reply.status())) {
    ++mMalformed;
  }
  return etcd::ErrorResponse(reply.status());
}

void Gateway::HandleWatch(const net::HttpRequest& aRequest,
                          net::HttpStreamWriter& aWriter)
{
  const absl::Status ended = RunWatch(aRequest, aWriter);
  if (!ended.ok()) {
    Json::Value line(Json::objectValue);
    line["error"] = etcd::EncodeError(ended);
    aWriter.WriteLine(etcd::WriteLine(line));
  }
}

absl::Status Gateway::RunWatch(const net::HttpRequest& aRequest,
                               net::HttpStreamWriter& aWriter)
{
  const auto body = etcd::ParseObject(aRequest.mBody);
  if (!body.ok()) {
    return body.status();
  }
  const auto request = etcd::DecodeWatchRequest(*body);
  if (!request.ok()) {
    return request.status();
  }
  if (!aWriter.WriteLine(etcd::WriteLine(etcd::EncodeWatchCreated()))) {
    return absl::OkStatus();
  }
  const Revision from =
    request->mStart == 0 ? mStore.LatestRevision() : request->mStart - 1;
  absl::Status ended =
    mStore.WatchRange(request->mRange,
                      from,
                      kWatchCheck,
                      [&](const std::vector<StoreEvent>& aEvents) {
                        return aEvents.empty()
                                 ? !aWriter.IsClosed()
                                 : aWriter.WriteLine(etcd::WriteLine(
                                     etcd::EncodeWatchEvents(aEvents)));
                      });
  if (absl::IsOutOfRange(ended)) {
    aWriter.WriteLine(
      etcd::WriteLine(etcd::EncodeWatchCanceled(request->mStart)));
    return absl::OkStatus();
  }
  return ended;
}

Gateway::Reply Gateway::Range(const Json::Value& aRequest)
{
  const auto request = etcd::DecodeRangeRequest(aRequest);
  if (!request.ok()) {
    return request.status();
  }
  const auto page =
    mStore.Range(request->mSingleKey ? StoreCall::Read : StoreCall::List,
                 request->mRange,
                 request->mLimit,
                 request->mRevision);
  return page.ok() ? Reply(etcd::EncodePage(*page)) : page.status();
}

Gateway::Reply Gateway::Txn(const Json::Value& aRequest)
{
  const auto transaction = etcd::DecodeTxnRequest(aRequest);
  if (!transaction.ok()) {
    return transaction.status();
  }
  const auto result = mStore.Commit(*transaction);
  return result.ok() ? Reply(etcd::EncodeTxnReply(*result)) : result.status();
}

Gateway::Reply Gateway::Put(const Json::Value& aRequest)
{
  const auto transaction = etcd::DecodePutRequest(aRequest);
  if (!transaction.ok()) {
    return transaction.status();
  }
  const auto result = mStore.Commit(*transaction);
  return result.ok() ? Reply(etcd::EncodeTxnReply(*result)) : result.status();
}

Gateway::Reply Gateway::Grant(const Json::Value& aRequest)
{
  const auto ttl = etcd::DecodeGrantRequest(aRequest);
  if (!ttl.ok()) {
    return ttl.status();
  }
  const auto lease = mStore.GrantLease(*ttl);
  return lease.ok() ? Reply(etcd::EncodeGrantReply(*lease, *ttl))
                    : lease.status();
}

Gateway::Reply Gateway::KeepAlive(const Json::Value& aRequest)
{
  const auto lease = etcd::DecodeLeaseRequest(aRequest);
  if (!lease.ok()) {
    return lease.status();
  }
  const auto ttl = mStore.KeepAlive(*lease);
  if (absl::IsNotFound(ttl.status())) {
    return etcd::EncodeKeepAliveReply(*lease, Duration::zero());
  }
  return ttl.ok() ? Reply(etcd::EncodeKeepAliveReply(*lease, *ttl))
                  : ttl.status();
}

Gateway::Reply Gateway::Revoke(const Json::Value& aRequest)
{
  const auto lease = etcd::DecodeLeaseRequest(aRequest);
  if (!lease.ok()) {
    return lease.status();
  }
  const absl::Status revoked = mStore.RevokeLease(*lease);
  return revoked.ok() ? Reply(etcd::EncodeEmptyReply()) : revoked;
}

Gateway::Reply Gateway::SetFaults(const Json::Value& aRequest)
{
  const auto faults = ChangeFaults(mStore.Faults(), aRequest);
  if (!faults.ok()) {
    return faults.status();
  }
  mStore.SetFaults(*faults);
  return EncodeFaults(*faults);
}

} // namespace foxtailbarrow
