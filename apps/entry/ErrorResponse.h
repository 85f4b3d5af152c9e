#pragma once

#include <optional>
#include <string_view>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::entry {

/// Why a request got no answer of its own.
struct Refusal
{
  unsigned mStatus = 503;
  Verdict mVerdict = Verdict::NotRun;
  Reason mReason = Reason::None;
  /// When a new attempt makes sense; rounded up to whole seconds.
  std::optional<Duration> mRetryAfter{};
  std::string_view mMessage{};
};

/// The final answer for a refusal: headers and a JSON body say the same.
net::HttpResponse ErrorResponse(const Refusal& aRefusal);

} // namespace foxtailbarrow::entry
