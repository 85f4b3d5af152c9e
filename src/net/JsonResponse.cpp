#include "src/net/JsonResponse.h"

#include "src/core/message/Json.h"

namespace foxtailbarrow::net {

HttpResponse JsonResponse(unsigned aStatus, const Json::Value& aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mBody = FormatJson(aBody);
  return response;
}

} // namespace foxtailbarrow::net
