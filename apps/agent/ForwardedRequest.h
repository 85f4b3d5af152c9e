#pragma once

#include <optional>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/agent/IdempotencyRegister.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow {

/// What the headers of a forwarded request say.
struct ForwardedRequest
{
  RequestId mId;
  Instant mDeadline{};
  std::optional<IdempotencyKey> mKey;
};

/// nullopt when the request id is missing or a header has no valid value.
/// `aDefault`: time for the answer when none is named.
std::optional<ForwardedRequest> ParseForwarded(const net::HttpHeaders& aHeaders,
                                               Instant aNow,
                                               Duration aDefault);

} // namespace foxtailbarrow
