#pragma once

#include <json/value.h>

#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net {

/// Creates a response whose body is `aBody` as JSON on one line.
HttpResponse JsonResponse(unsigned aStatus, const Json::Value& aBody);

} // namespace foxtailbarrow::net
