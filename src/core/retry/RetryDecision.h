#pragma once

#include <optional>
#include <variant>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

/// Retry after `mDelay`.
struct Retry
{
  Duration mDelay{};
  bool mExcludeTried = true; ///< Exclude the agents tried so far.
};

/// Answer the caller now.
struct GiveUp
{
  Verdict mVerdict = Verdict::NotRun;
  Reason mReason = Reason::None;
  /// Delay before the caller may retry; none when it must first find out
  /// whether the request ran.
  std::optional<Duration> mRetryAfter;
};

using RetryDecision = std::variant<Retry, GiveUp>;

} // namespace foxtailbarrow
