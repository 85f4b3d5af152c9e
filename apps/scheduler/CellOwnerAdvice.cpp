#include <optional>

#include <boost/fiber/operations.hpp>

#include "apps/scheduler/CellOwner.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Interval of checks for a step that needs advice.
constexpr Duration kAdvicePoll = std::chrono::milliseconds(20);

} // namespace

/// Sends one query at a time, as the service requires.
void CellOwner::RunAdvice()
{
  while (!mEnded && mParts.mAdvisor != nullptr) {
    const std::optional<AdviceQuery> query =
      mAdviceWanted ? mLogic.NextAdviceQuery(Clock()) : std::nullopt;
    if (!query) {
      boost::this_fiber::sleep_for(mAdviceWanted ? kAdvicePoll
                                                 : kAdvicePoll * 10);
      continue;
    }
    const auto reply = mParts.mAdvisor->Advise(*query);
    if (mEnded) {
      return;
    }
    if (!reply.ok()) {
      LogWarning("advice-failed",
                 { { "job", query->mStep.mJob },
                   { "workers", query->mWorkers.size() },
                   { "error", reply.status().ToString() } });
    }
    mLogic.OnAdvice(
      *query, reply.ok() ? std::optional(*reply) : std::nullopt, Clock());
    mScheduleWaker.Wake();
  }
}

} // namespace foxtailbarrow::scheduler
