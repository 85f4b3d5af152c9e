#pragma once

#include <optional>
#include <string_view>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::entry {

/// Error that the entry itself answers a request with.
struct Refusal
{
  unsigned mStatus = 503;
  Verdict mVerdict = Verdict::NotRun;
  Reason mReason = Reason::None;
  /// Delay before a retry makes sense; sent rounded up to whole seconds.
  std::optional<Duration> mRetryAfter{};
  std::string_view mMessage{};
};

/// The response for a refusal. The reason and the verdict are both in the
/// headers and in the JSON body.
net::HttpResponse ErrorResponse(const Refusal& aRefusal);

} // namespace foxtailbarrow::entry
