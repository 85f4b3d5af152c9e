#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "absl/status/status.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/OverTarget.h"
#include "src/core/cell/TaskWorker.h"
#include "src/core/cell/ThrottleController.h"

namespace foxtailbarrow::taskagent {

/// Log lines and counters of how an agent protects the serving tasks on its
/// worker.
class ThrottleLog
{
public:
  /// A look is judged at `aNow`.
  void OnPoll(Instant aNow);
  void LogThrottle(const cell::ThrottleChange& aChange,
                   cell::Fence aFence,
                   const absl::Status& aOutcome);
  /// What is over its target after a look; told once a second.
  void LogOverTarget(std::span<const cell::OverTarget> aOver, Instant aNow);
  /// Running tasks of which the agent does not know what they are.
  void LogUnknownTasks(std::size_t aTasks, Instant aNow);

  std::int64_t LatePolls() const { return mLatePolls; }
  std::int64_t UnansweredThrottles() const { return mUnanswered; }
  std::int64_t UnknownTasks() const { return mUnknown; }
  Duration LongestOverTarget() const { return mLongestOverTarget; }

private:
  Instant mPolledAt{};
  std::map<std::string, Instant> mOverLoggedAt; ///< By image.
  Instant mUnknownLoggedAt{};
  std::int64_t mLatePolls = 0;
  std::int64_t mUnanswered = 0;
  std::int64_t mUnknown = 0;
  Duration mLongestOverTarget{};
};

} // namespace foxtailbarrow::taskagent
