#pragma once

#include <optional>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/agent/IdempotencyRegister.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow {

/// Parsed headers of a forwarded request.
struct ForwardedRequest
{
  RequestId mId;
  Instant mDeadline{};
  std::optional<IdempotencyKey> mKey;
};

/// nullopt if the request id is missing or a header is invalid. `aDefault`:
/// time to the deadline if the headers state none.
std::optional<ForwardedRequest> ParseForwarded(const net::HttpHeaders& aHeaders,
                                               Instant aNow,
                                               Duration aDefault);

} // namespace foxtailbarrow
