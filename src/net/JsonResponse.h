#pragma once

#include <json/value.h>

#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net {

/// A response with this JSON value on one line as its body.
HttpResponse JsonResponse(unsigned aStatus, const Json::Value& aBody);

} // namespace foxtailbarrow::net
