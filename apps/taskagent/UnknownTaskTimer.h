#pragma once

#include <chrono>
#include <optional>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::taskagent {

/// Tells when an agent asks for its session anew, so that the owner tells it
/// what the running tasks are. Pauses grow while that does not help: the owner
/// may be stopping tasks that it does not know either. Pure.
class UnknownTaskTimer
{
public:
  static constexpr Duration kShortest = std::chrono::seconds(1);
  static constexpr Duration kLongest = std::chrono::seconds(8);

  /// After a look at `aNow`; `aUnknown`: it showed tasks that are not known.
  /// Returns true when the session is to be begun anew.
  bool Update(bool aUnknown, Instant aNow);

private:
  std::optional<Instant> mSince;
  Duration mPause = kShortest;
};

} // namespace foxtailbarrow::taskagent
