#include "apps/entry/Answers.h"

#include <string>

#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::string_view kJsonType = "application/json";

std::int64_t WholeSeconds(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::seconds>(aDuration).count();
}

} // namespace

net::HttpResponse JsonAnswer(unsigned aStatus, const Json::Value& aBody)
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", kJsonType);
  response.mBody = FormatJson(aBody);
  return response;
}

net::HttpResponse AnswerOf(const Refusal& aRefusal)
{
  Json::Value body(Json::objectValue);
  body["error"] = std::string(aRefusal.mMessage);
  body["reason"] = std::string(ToString(aRefusal.mReason));
  body["verdict"] = std::string(ToString(aRefusal.mVerdict));
  net::HttpResponse response = JsonAnswer(aRefusal.mStatus, body);
  response.mHeaders.Set(net::kVerdictHeader, ToString(aRefusal.mVerdict));
  response.mHeaders.Set(kReasonHeader, ToString(aRefusal.mReason));
  if (aRefusal.mRetryAfter) {
    response.mHeaders.Set(kRetryAfterHeader,
                          std::to_string(WholeSeconds(*aRefusal.mRetryAfter)));
  }
  return response;
}

} // namespace foxtailbarrow::entry
