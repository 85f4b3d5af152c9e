#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "absl/status/status.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/throttling/OverTarget.h"
#include "src/core/cell/throttling/ThrottleController.h"
#include "src/core/cell/workers/TaskWorker.h"

namespace foxtailbarrow::taskagent {

/// Log lines and counters of the throttling that protects serving tasks on a
/// worker.
class ThrottleLog
{
public:
  /// Records a poll; logs it if it is late.
  void OnPoll(Instant aNow);
  void LogThrottle(const cell::ThrottleChange& aChange,
                   cell::Fence aFence,
                   const absl::Status& aOutcome);
  /// Logs the images over their target after a poll, once a second each.
  void LogOverTarget(std::span<const cell::OverTarget> aOver, Instant aNow);
  /// Logs the number of running tasks without metadata.
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
