#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Verdict.h"
#include "src/net/Rpc.h"
#include "src/net/rpcshim/RpcShim.h"

namespace foxtailbarrow::net {

using rpcshim::RpcError;

namespace {

constexpr unsigned kOk = 200;
constexpr int kLastStatusCode =
  static_cast<int>(absl::StatusCode::kUnauthenticated);

/// Converts an error object that the remote method returned.
absl::Status FromMethodError(const RpcError& aError)
{
  const Json::Value& data = aError.Data();
  absl::StatusCode code = absl::StatusCode::kUnknown;
  Verdict verdict = Verdict::MayHaveRun;
  if (data.isObject() && data["code"].isInt()) {
    const int number = data["code"].asInt();
    if (number > 0 && number <= kLastStatusCode) {
      code = static_cast<absl::StatusCode>(number);
    }
  }
  if (data.isObject() && data["verdict"].isString()) {
    verdict =
      ParseVerdict(data["verdict"].asString()).value_or(Verdict::MayHaveRun);
  }
  return WithVerdict(absl::Status(code, aError.Message()), verdict);
}

absl::Status FromError(const RpcError& aError)
{
  switch (aError.Code()) {
    case rpcshim::kMethodNotFoundCode:
      return WithVerdict(absl::UnimplementedError(aError.Message()),
                         Verdict::NotRun);
    case rpcshim::kParseErrorCode:
    case rpcshim::kInvalidRequestCode:
    case rpcshim::kInvalidParamsCode:
      return WithVerdict(absl::InvalidArgumentError(aError.Message()),
                         Verdict::NotRun);
    case rpcshim::kInvalidResponseCode:
      return WithVerdict(absl::InternalError(aError.Message()),
                         Verdict::MayHaveRun);
    default:
      return FromMethodError(aError);
  }
}

/// Client errors are permanent; all others are retryable.
absl::StatusCode CodeOf(unsigned aHttpStatus)
{
  constexpr unsigned kFirstClientError = 400;
  constexpr unsigned kContentTooLarge = 413;
  constexpr unsigned kFirstServerError = 500;
  if (aHttpStatus == kContentTooLarge) {
    return absl::StatusCode::kResourceExhausted;
  }
  return aHttpStatus >= kFirstClientError && aHttpStatus < kFirstServerError
           ? absl::StatusCode::kInvalidArgument
           : absl::StatusCode::kUnavailable;
}

absl::Status FromHttp(const HttpResponse& aResponse)
{
  const std::string_view text =
    aResponse.mHeaders.Find(kVerdictHeader).value_or("");
  return WithVerdict(absl::Status(CodeOf(aResponse.mStatus),
                                  absl::StrCat("RPC answered with HTTP status ",
                                               aResponse.mStatus)),
                     ParseVerdict(text).value_or(Verdict::MayHaveRun));
}

HttpRequest ToRequest(const std::string& aText)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = kRpcTarget;
  request.mHeaders.Append("Content-Type", "application/json");
  request.mBody = aText;
  return request;
}

} // namespace

RpcClient::RpcClient(HttpClient& aClient)
  : mClient(aClient)
{
}

absl::StatusOr<Json::Value> RpcClient::Call(const Endpoint& aEndpoint,
                                            std::string_view aMethod,
                                            const Json::Value& aParams,
                                            Duration aTimeout)
{
  absl::Status failure;
  Instant codecStart = MonotonicNow();
  const auto transport = [&](const std::string& aRequest,
                             std::string& aResponse) {
    mCodecTime.Add(MonotonicNow() - codecStart);
    auto response = mClient.Call(aEndpoint, ToRequest(aRequest), aTimeout);
    codecStart = MonotonicNow();
    if (!response.ok()) {
      failure = response.status();
      return false;
    }
    if (response->mStatus != kOk) {
      failure = FromHttp(*response);
      return false;
    }
    aResponse = std::move(response->mBody);
    return true;
  };
  try {
    Json::Value result;
    if (!rpcshim::Call(transport, std::string(aMethod), aParams, result)) {
      return failure;
    }
    mCodecTime.Add(MonotonicNow() - codecStart);
    return result;
  } catch (const RpcError& error) {
    return FromError(error);
  } catch (const Json::Exception& error) {
    return WithVerdict(absl::InternalError(error.what()), Verdict::MayHaveRun);
  }
}

} // namespace foxtailbarrow::net
