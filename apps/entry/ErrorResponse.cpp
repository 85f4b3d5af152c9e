#include "apps/entry/ErrorResponse.h"

#include <string>

#include "foxtailbarrow/RequestHeaders.h"
#include "src/net/JsonResponse.h"

namespace foxtailbarrow::entry {

namespace {

std::int64_t CeilSeconds(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::seconds>(aDuration).count();
}

} // namespace

net::HttpResponse ErrorResponse(const Refusal& aRefusal)
{
  Json::Value body(Json::objectValue);
  body["error"] = std::string(aRefusal.mMessage);
  body["reason"] = std::string(ToString(aRefusal.mReason));
  body["verdict"] = std::string(ToString(aRefusal.mVerdict));
  net::HttpResponse response = net::JsonResponse(aRefusal.mStatus, body);
  response.mHeaders.Set(net::kVerdictHeader, ToString(aRefusal.mVerdict));
  response.mHeaders.Set(kReasonHeader, ToString(aRefusal.mReason));
  if (aRefusal.mRetryAfter) {
    response.mHeaders.Set(kRetryAfterHeader,
                          std::to_string(CeilSeconds(*aRefusal.mRetryAfter)));
  }
  return response;
}

} // namespace foxtailbarrow::entry
