#include "apps/taskagent/PaceLog.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "absl/strings/str_join.h"

#include "foxtailbarrow/Verdict.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::taskagent {

namespace {

constexpr Duration kTellEvery = std::chrono::seconds(1);
/// Without a look for so long, figures and paces are late.
constexpr Duration kLateAfter = std::chrono::seconds(1);
constexpr double kPercent = 100.0;
constexpr double kPerMille = 1000.0;

/// Rounded, as logs show shares.
std::int64_t Scaled(double aShare, double aUnits)
{
  return std::llround(aShare * aUnits);
}

} // namespace

void PaceLog::NoteLook(Instant aNow)
{
  const Duration gap = aNow - mLookedAt;
  if (mLookedAt != Instant() && gap > kLateAfter) {
    ++mLateLooks;
    LogWarning("look-late", { { "ms", WholeMilliseconds(gap) } });
  }
  mLookedAt = aNow;
}

void PaceLog::NotePace(const cell::PaceChange& aChange,
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

void PaceLog::NoteOver(std::span<const cell::OverTarget> aOver, Instant aNow)
{
  std::erase_if(mToldOver, [&](const auto& aTold) {
    return std::ranges::none_of(aOver, [&](const cell::OverTarget& aEntry) {
      return aEntry.mImage == aTold.first;
    });
  });
  for (const cell::OverTarget& over : aOver) {
    mLongestOver = std::max(mLongestOver, over.mOver);
    Instant& told = mToldOver[over.mImage];
    if (over.mOver < kTellEvery || aNow - told < kTellEvery) {
      continue;
    }
    told = aNow;
    LogChange("serving-over",
              { { "image", over.mImage },
                { "ms", WholeMilliseconds(over.mOver) },
                { "latencyPercent", Scaled(over.mLatencyShare, kPercent) },
                { "tasksBeside", over.mBeside.size() },
                { "paces", absl::StrJoin(over.mBeside, " ") } });
  }
}

void PaceLog::NoteUnknown(std::size_t aTasks, Instant aNow)
{
  mUnknown = static_cast<std::int64_t>(aTasks);
  if (aTasks == 0 || aNow - mToldUnknown < kTellEvery) {
    return;
  }
  mToldUnknown = aNow;
  LogWarning("tasks-unknown", { { "tasks", aTasks } });
}

} // namespace foxtailbarrow::taskagent
