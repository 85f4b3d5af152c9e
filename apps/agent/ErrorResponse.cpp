#include "apps/agent/ErrorResponse.h"

#include <chrono>
#include <string>

#include "foxtailbarrow/RequestHeaders.h"

namespace foxtailbarrow {

namespace {

std::string CeilSeconds(Duration aTime)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aTime).count());
}

} // namespace

net::HttpResponse ErrorResponse(const ErrorCause& aCause)
{
  const std::string reason(ToString(aCause.mReason));
  net::HttpResponse response;
  response.mStatus = aCause.mStatus;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mHeaders.Set(kReasonHeader, reason);
  response.mHeaders.Set(net::kVerdictHeader, ToString(aCause.mVerdict));
  if (aCause.mRetryAfter > Duration{}) {
    response.mHeaders.Set(kRetryAfterHeader, CeilSeconds(aCause.mRetryAfter));
  }
  response.mBody = R"({"reason":")" + reason + "\"}\n";
  return response;
}

} // namespace foxtailbarrow
