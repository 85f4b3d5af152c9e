#pragma once

#include <string>
#include <string_view>

#include "foxtailbarrow/Time.h"
#include "src/core/trace/TraceEvents.h"
#include "src/net/HttpMessage.h"

/// What a caller of the trace sends, and whether an answer belongs to it.
namespace foxtailbarrow::replay {

/// One attempt at a request.
struct CallerAttempt
{
  std::string mRequestId;      ///< Unique to this attempt.
  std::string mIdempotencyKey; ///< The same in every attempt.
  Duration mRemaining{};       ///< Until the deadline.
};

net::HttpRequest MakeRequest(const TraceRequest& aLine,
                             const CallerAttempt& aAttempt);

/// True when the backend stand-in's answer echoes this very request: its id,
/// method, target and the hash of its whole body.
bool AnswersTo(const net::HttpRequest& aRequest,
               const net::HttpResponse& aResponse);

/// By the caller's mark or by the method's definition in HTTP.
bool IsIdempotent(const TraceRequest& aLine);

} // namespace foxtailbarrow::replay
