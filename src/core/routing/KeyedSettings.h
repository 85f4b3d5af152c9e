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

  /// Agents before the one that takes the key that are asked for one request:
  /// full, ejected, draining or suspect ones. Beyond it the request is refused,
  /// so that an overload does not multiply messages.
  std::size_t mMaxRevokesBefore = 3;

  /// Agents after it that are asked, since they may have held its place within
  /// the window. In a fleet whose n agents all started within it, ln(n) on
  /// average.
  std::size_t mMaxRevokesAfter = 24;
};

} // namespace foxtailbarrow
