#include <utility>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Verdict.h"
#include "src/net/Rpc.h"
#include "src/net/rpcshim/RpcShim.h"

namespace foxtailbarrow::net {

using rpcshim::RpcError;

namespace {

constexpr unsigned kMethodNotAllowed = 405;

/// Start of the current encoding or decoding on this thread, which does not
/// suspend, so that no other fiber of the thread overwrites this.
thread_local Instant sCodecStart{};

RpcError ToError(const absl::Status& aStatus)
{
  Json::Value data(Json::objectValue);
  data["code"] = static_cast<int>(aStatus.code());
  data["verdict"] = std::string(ToString(VerdictOf(aStatus)));
  return RpcError(
    rpcshim::kMethodErrorCode, std::string(aStatus.message()), data);
}

/// Response to failures that libjsonrpccpp reports as exceptions.
constexpr char kInternalError[] =
  R"({"jsonrpc":"2.0","id":null,"error":{"code":-32603,)"
  R"("message":"internal error",)"
  R"("data":{"code":13,"verdict":"may-have-run"}}})";

constexpr char kUnsafeTextError[] =
  R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
  R"("message":"nested too deeply, or too many values",)"
  R"("data":{"code":3,"verdict":"not-run"}}})";

} // namespace

struct RpcDispatcher::Impl
{
  Impl()
    : mServer([this](const std::string& aName, const Json::Value& aParams) {
      return Invoke(aName, aParams);
    })
  {
  }

  Json::Value Invoke(const std::string& aName, const Json::Value& aParams)
  {
    if (!aParams.isObject() && !aParams.isNull()) {
      throw RpcError(rpcshim::kInvalidParamsCode,
                     "params must be an object",
                     Json::Value::nullSingleton());
    }
    const Json::Value empty(Json::objectValue);
    const auto& method = mMethods.find(aName)->second;
    mCodecTime.Add(MonotonicNow() - sCodecStart);
    absl::StatusOr<Json::Value> result =
      method(aParams.isNull() ? empty : aParams);
    sCodecStart = MonotonicNow();
    if (!result.ok()) {
      throw ToError(result.status());
    }
    return *std::move(result);
  }

  absl::flat_hash_map<std::string, Method> mMethods;
  rpcshim::Server mServer;
  CodecTimer mCodecTime;
};

RpcDispatcher::RpcDispatcher()
  : mImpl(std::make_unique<Impl>())
{
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::Add(std::string aName, Method aMethod)
{
  mImpl->mServer.AddMethod(aName);
  mImpl->mMethods.insert_or_assign(std::move(aName), std::move(aMethod));
}

CodecTimer& RpcDispatcher::CodecTime()
{
  return mImpl->mCodecTime;
}

HttpResponse RpcDispatcher::Handle(const HttpRequest& aRequest)
{
  HttpResponse response;
  if (aRequest.mMethod != "POST") {
    response.mStatus = kMethodNotAllowed;
    response.mHeaders.Append("Allow", "POST");
    response.mHeaders.Append(kVerdictHeader, ToString(Verdict::NotRun));
    return response;
  }
  response.mHeaders.Append("Content-Type", "application/json");
  sCodecStart = MonotonicNow();
  if (rpcshim::IsUnsafeToParse(aRequest.mBody)) {
    response.mBody = kUnsafeTextError;
    return response;
  }
  try {
    response.mBody = mImpl->mServer.Handle(aRequest.mBody);
  } catch (const std::exception&) {
    response.mBody = kInternalError;
  }
  mImpl->mCodecTime.Add(MonotonicNow() - sCodecStart);
  return response;
}

} // namespace foxtailbarrow::net
