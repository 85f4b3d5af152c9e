#pragma once

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow {

/// Why a request gets no answer of the backend server.
struct ErrorCause
{
  unsigned mStatus = 503; ///< Of HTTP.
  Reason mReason = Reason::None;
  Verdict mVerdict = Verdict::NotRun;
  Duration mRetryAfter{}; ///< Zero = none is given.
};

/// The answer that says so, in headers and as a small JSON body.
net::HttpResponse ErrorResponse(const ErrorCause& aCause);

} // namespace foxtailbarrow
