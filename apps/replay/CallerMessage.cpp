#include "apps/replay/CallerMessage.h"

#include <algorithm>

#include "absl/strings/str_format.h"

#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/message/Json.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtailbarrow::replay {

namespace {

constexpr std::string_view kIdempotentMethods[] = {
  "GET", "HEAD", "PUT", "DELETE", "OPTIONS",
};

/// Service time for the backend stand-in.
constexpr std::string_view kServiceHeader = "Standin-Service-Us";

/// Unique per attempt, as it starts with the request id.
std::string MakeBody(const std::string& aRequestId, std::int64_t aBytes)
{
  const auto size = static_cast<std::size_t>(aBytes);
  std::string body;
  body.reserve(size + aRequestId.size());
  while (body.size() < size) {
    body += aRequestId;
  }
  body.resize(size);
  return body;
}

std::int64_t WholeMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

std::string HashText(const std::string& aBody)
{
  return absl::StrFormat("%016x", XXH3_64bits(aBody.data(), aBody.size()));
}

} // namespace

net::HttpRequest MakeRequest(const TraceRequest& aLine,
                             const CallerAttempt& aAttempt)
{
  net::HttpRequest request;
  request.mMethod = aLine.mMethod;
  request.mTarget = aLine.mPath;
  request.mBody = MakeBody(aAttempt.mRequestId, aLine.mBodyBytes);
  net::HttpHeaders& headers = request.mHeaders;
  headers.Set(kCustomerHeader, aLine.mCustomer.Value());
  headers.Set(kRequestIdHeader, aAttempt.mRequestId);
  headers.Set(kIdempotencyKeyHeader, aAttempt.mIdempotencyKey);
  headers.Set(kDeadlineHeader,
              std::to_string(WholeMilliseconds(aAttempt.mRemaining)));
  headers.Set(kServiceHeader, std::to_string(aLine.mServiceUs));
  if (aLine.mIdempotent) {
    headers.Set(kIdempotentHeader, "true");
  }
  return request;
}

bool EchoesRequest(const net::HttpRequest& aRequest,
                   const net::HttpResponse& aResponse)
{
  const absl::StatusOr<Json::Value> echo = ParseJson(aResponse.mBody);
  if (!echo.ok() || !echo->isObject()) {
    return false;
  }
  const auto id = aRequest.mHeaders.Find(kRequestIdHeader);
  return (*echo)["requestId"] == std::string(id.value_or("")) &&
         (*echo)["method"] == aRequest.mMethod &&
         (*echo)["target"] == aRequest.mTarget &&
         (*echo)["bodyHash"] == HashText(aRequest.mBody);
}

bool IsIdempotent(const TraceRequest& aLine)
{
  return aLine.mIdempotent ||
         std::ranges::find(kIdempotentMethods, aLine.mMethod) !=
           std::end(kIdempotentMethods);
}

} // namespace foxtailbarrow::replay
