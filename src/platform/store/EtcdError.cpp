#include "src/platform/store/EtcdError.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Verdict.h"
#include "src/platform/store/GatewayJson.h"

namespace foxtailbarrow::etcd {

namespace {

/// Errors that the server gives before it proposes a write.
constexpr std::array<std::string_view, 3> kNotProposed = {
  "etcdserver: no leader",
  "etcdserver: too many requests",
  "etcdserver: not capable",
};

struct ReplyError
{
  absl::StatusCode mCode = absl::StatusCode::kUnknown;
  std::string mMessage;
};

absl::StatusCode CodeOfHttp(unsigned aStatus)
{
  switch (aStatus) {
    case 400:
    case 413:
      return absl::StatusCode::kInvalidArgument;
    case 401:
    case 403:
      return absl::StatusCode::kPermissionDenied;
    case 404:
      return absl::StatusCode::kNotFound;
    case 429:
      return absl::StatusCode::kResourceExhausted;
    case 502:
    case 503:
      return absl::StatusCode::kUnavailable;
    case 504:
      return absl::StatusCode::kDeadlineExceeded;
    default:
      return absl::StatusCode::kInternal;
  }
}

ReplyError ReplyErrorOf(const net::HttpResponse& aReply)
{
  ReplyError error{ CodeOfHttp(aReply.mStatus),
                    absl::StrCat("HTTP status ", aReply.mStatus) };
  const auto body = ParseObject(aReply.mBody);
  if (!body.ok()) {
    return error;
  }
  // absl's status codes have the same numbers as gRPC's.
  const Json::Value& code = (*body)["code"];
  if (code.isInt() && code.asInt() > 0) {
    error.mCode = static_cast<absl::StatusCode>(code.asInt());
  }
  if (const Json::Value& text = (*body)["error"]; text.isString()) {
    error.mMessage = text.asString();
  }
  return error;
}

bool CertainlyNotRun(const ReplyError& aError)
{
  switch (aError.mCode) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kUnauthenticated:
    case absl::StatusCode::kResourceExhausted:
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kOutOfRange:
    case absl::StatusCode::kUnimplemented:
      return true;
    default:
      return std::find(kNotProposed.begin(),
                       kNotProposed.end(),
                       aError.mMessage) != kNotProposed.end();
  }
}

} // namespace

absl::Status ErrorOf(const net::HttpResponse& aReply, StoreCall aCall)
{
  const ReplyError error = ReplyErrorOf(aReply);
  absl::Status status(error.mCode, error.mMessage);
  if (CertainlyNotRun(error)) {
    return WithVerdict(std::move(status), Verdict::NotRun);
  }
  return WithVerdictOfCall(std::move(status), aCall);
}

absl::Status WithVerdictOfCall(absl::Status aStatus, StoreCall aCall)
{
  if (aStatus.ok() || IsWrite(aCall)) {
    return aStatus;
  }
  return WithVerdict(std::move(aStatus), Verdict::NotRun);
}

} // namespace foxtailbarrow::etcd
