#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Settings of requests with an idempotency key that are not idempotent.
struct KeyedSettings
{
  /// How long a retry under the same key is recognised if agents joined or left
  /// after the first attempt. Otherwise it is recognised for as long as agents
  /// remember keys, which this must not exceed.
  Duration mWindow = std::chrono::seconds(30);

  /// A new agent takes keys only after it was known for this long: at least
  /// twice the time until all entries know it.
  Duration mJoinDelay = std::chrono::seconds(5);

  /// Maximum number of agents before the picked one that are asked per request:
  /// full, ejected, draining or suspect ones. Beyond it the request is refused,
  /// so that an overload does not multiply messages.
  std::size_t mMaxRevokesBefore = 3;

  /// Maximum number of agents after it that are asked, since they may have been
  /// in its place within the window: ln(n) on average in a fleet whose n agents
  /// all started within it.
  std::size_t mMaxRevokesAfter = 24;
};

} // namespace foxtailbarrow
