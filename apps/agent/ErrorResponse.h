#pragma once

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow {

/// Error that the agent answers a request with instead of the backend server.
struct ErrorCause
{
  unsigned mStatus = 503; ///< HTTP status.
  Reason mReason = Reason::None;
  Verdict mVerdict = Verdict::NotRun;
  Duration mRetryAfter{}; ///< Zero = not sent.
};

/// The response for an error, with headers and a JSON body.
net::HttpResponse ErrorResponse(const ErrorCause& aCause);

} // namespace foxtailbarrow
