#include "apps/taskagent/ThrottleLog.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "absl/strings/str_join.h"

#include "foxtailbarrow/Verdict.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::taskagent {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
/// Time between polls after which load figures and throttles are late.
constexpr Duration kLateAfter = std::chrono::seconds(1);
constexpr double kPercent = 100.0;
constexpr double kPerMille = 1000.0;

/// Converts a share to the rounded integer for the log.
std::int64_t Scaled(double aShare, double aUnits)
{
  return std::llround(aShare * aUnits);
}

} // namespace

void ThrottleLog::OnPoll(Instant aNow)
{
  const Duration gap = aNow - mPolledAt;
  if (mPolledAt != Instant() && gap > kLateAfter) {
    ++mLatePolls;
    LogWarning("look-late", { { "ms", WholeMilliseconds(gap) } });
  }
  mPolledAt = aNow;
}

void ThrottleLog::LogThrottle(const cell::ThrottleChange& aChange,
                              cell::Fence aFence,
                              const absl::Status& aOutcome)
{
  mUnanswered += VerdictOf(aOutcome) == Verdict::MayHaveRun ? 1 : 0;
  LogChange(
    "task-paced",
    { { "task", ToString(aChange.mTask) },
      { "run", aChange.mRun },
      { "percent", aChange.mPercent },
      { "reason", ToString(aChange.mCause.mReason) },
      { "image", aChange.mImage },
      { "serving", aChange.mCause.mServing },
      { "latencyPercent", Scaled(aChange.mCause.mLatencyShare, kPercent) },
      { "perMille", Scaled(aChange.mCause.mPerCore, kPerMille) },
      { "fence", aFence },
      { "outcome", aOutcome.ok() ? "ok" : aOutcome.ToString() } });
}

void ThrottleLog::LogOverTarget(std::span<const cell::OverTarget> aOver,
                                Instant aNow)
{
  std::erase_if(mOverLoggedAt, [&](const auto& aLogged) {
    return std::ranges::none_of(aOver, [&](const cell::OverTarget& aEntry) {
      return aEntry.mImage == aLogged.first;
    });
  });
  for (const cell::OverTarget& over : aOver) {
    mLongestOverTarget = std::max(mLongestOverTarget, over.mOver);
    Instant& loggedAt = mOverLoggedAt[over.mImage];
    if (over.mOver < kLogInterval || aNow - loggedAt < kLogInterval) {
      continue;
    }
    loggedAt = aNow;
    LogChange("serving-over",
              { { "image", over.mImage },
                { "ms", WholeMilliseconds(over.mOver) },
                { "latencyPercent", Scaled(over.mLatencyShare, kPercent) },
                { "tasksBeside", over.mColocated.size() },
                { "paces", absl::StrJoin(over.mColocated, " ") } });
  }
}

void ThrottleLog::LogUnknownTasks(std::size_t aTasks, Instant aNow)
{
  mUnknown = static_cast<std::int64_t>(aTasks);
  if (aTasks == 0 || aNow - mUnknownLoggedAt < kLogInterval) {
    return;
  }
  mUnknownLoggedAt = aNow;
  LogWarning("tasks-unknown", { { "tasks", aTasks } });
}

} // namespace foxtailbarrow::taskagent
