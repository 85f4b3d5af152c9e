#pragma once

#include <string>
#include <string_view>

#include "foxtailbarrow/Time.h"
#include "src/core/trace/TraceEvents.h"
#include "src/net/HttpMessage.h"

/// Builds the requests of a trace and checks their responses.
namespace foxtailbarrow::replay {

/// An attempt to send a request.
struct CallerAttempt
{
  std::string mRequestId;      ///< Unique per attempt.
  std::string mIdempotencyKey; ///< The same for all attempts.
  Duration mRemaining{};       ///< Time until the deadline.
};

net::HttpRequest MakeRequest(const TraceRequest& aLine,
                             const CallerAttempt& aAttempt);

/// True when the response of the backend stand-in echoes the request: its id,
/// method, target and the hash of its body.
bool EchoesRequest(const net::HttpRequest& aRequest,
                   const net::HttpResponse& aResponse);

/// True when marked so by the caller or when HTTP defines the method so.
bool IsIdempotent(const TraceRequest& aLine);

} // namespace foxtailbarrow::replay
