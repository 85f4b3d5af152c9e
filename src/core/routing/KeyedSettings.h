#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Settings of requests with an idempotency key that are not idempotent.
struct KeyedSettings
{
  /// How long after an attempt a second one under its key is recognised when
  /// agents came or went meanwhile. While none does, it is recognised for as
  /// long as the agent remembers keys. At most that time.
  Duration mWindow = std::chrono::seconds(30);

  /// A newcomer takes keys only when it was known for this long: at least twice
  /// the time in which all entries hear of it.
  Duration mJoinDelay = std::chrono::seconds(5);

  /// Agents asked for one request; beyond it the request is refused.
  std::size_t mMaxAsked = 3;
};

} // namespace foxtailbarrow
