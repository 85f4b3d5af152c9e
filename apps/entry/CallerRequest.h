#pragma once

#include <string_view>
#include <variant>

#include "apps/entry/ErrorResponse.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::entry {

/// A caller's request as its headers describe it. Views point into the request.
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
  Duration mDefault; ///< For requests that state none.
  Duration mMax;
};

/// Checks the headers. `aGeneratedId` is taken where the caller gave no id.
std::variant<CallerRequest, Refusal> ReadCallerRequest(
  const net::HttpRequest& aRequest,
  const DeadlineLimits& aLimits,
  RequestId aGeneratedId,
  Instant aNow);

} // namespace foxtailbarrow::entry
