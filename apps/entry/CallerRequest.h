#pragma once

#include <string_view>
#include <variant>

#include "apps/entry/ErrorResponse.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::entry {

/// Parsed headers of a caller's request. Views refer to the HTTP request.
struct CallerRequest
{
  CustomerId mCustomer;
  RequestId mId;
  std::string_view mIdempotencyKey; ///< Empty = none.
  bool mIdempotent = false;
  Instant mDeadline;
};

struct DeadlineLimits
{
  Duration mDefault; ///< For requests without one.
  Duration mMax;
};

/// Parses and validates the headers. `aGeneratedId` is used if the caller sent
/// no id.
std::variant<CallerRequest, Refusal> ReadCallerRequest(
  const net::HttpRequest& aRequest,
  const DeadlineLimits& aLimits,
  RequestId aGeneratedId,
  Instant aNow);

} // namespace foxtailbarrow::entry
