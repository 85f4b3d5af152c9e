#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::taskagent {

/// Decides when an agent requests a new session because it has no metadata of
/// running tasks. Pauses grow while that does not help: the owner may be
/// stopping tasks that it does not know either. Pure.
class UnknownTaskTimer
{
public:
  static constexpr Duration kMinPause = std::chrono::seconds(1);
  static constexpr Duration kMaxPause = std::chrono::seconds(8);

  /// To be called after each poll. `aUnknown`: it returned tasks without
  /// metadata. Returns true if a new session must be requested.
  bool Update(bool aUnknown, Instant aNow);

private:
  std::optional<Instant> mWaitingSince;
  Duration mPause = kMinPause;
};

} // namespace foxtailbarrow::taskagent
