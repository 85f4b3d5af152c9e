#include "apps/scheduler/CellOwner.h"

#include <chrono>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "src/core/message/Codec.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

/// Cordons: tells the agents in which failure domains nothing may start.
namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

constexpr Duration kNoticeTimeout = std::chrono::milliseconds(500);
constexpr Duration kNoticeRetry = std::chrono::milliseconds(100);

} // namespace

void CellOwner::SetCordons(const CordonTable& aCordons)
{
  mLogic.SetCordonedDomains(aCordons.Cordoned(), Clock());
  for (auto& [agent, link] : mAgentLinks) {
    TellCordon(agent, *link);
  }
  mScheduleWaker.Wake();
}

/// Sends a notice if the agent was told otherwise in this session. Repeats it
/// until the agent answers, the session ends or the cordon changes.
void CellOwner::TellCordon(const AgentId& aAgent, AgentLink& aLink)
{
  const auto worker = mLogic.Workers().find(aAgent);
  if (worker == mLogic.Workers().end() || !Attached(aAgent) ||
      worker->second.mCordoned ==
        std::exchange(aLink.mCordonTold, worker->second.mCordoned)) {
    return;
  }
  const CordonNotice notice{ worker->second.mSession,
                             ++mCordonNotices,
                             worker->second.mCordoned };
  mParts.mRuntime.Spawn(
    [self = shared_from_this(), aAgent, at = aLink.mEndpoint, notice] {
      const auto isCurrent = [&] {
        const auto found = self->mLogic.Workers().find(aAgent);
        return !self->mEnded && self->Attached(aAgent) &&
               found->second.mSession == notice.mSession &&
               found->second.mCordoned == notice.mCordoned;
      };
      while (isCurrent()) {
        const auto reply = net::CallTyped<CordonNoticeReply>(
          self->mParts.mRpc, at, kCordonNoticeMethod, notice, kNoticeTimeout);
        if (reply.ok()) {
          return;
        }
        LogWarning("cordon-not-told",
                   { { "agent", aAgent },
                     { "session", notice.mSession },
                     { "error", reply.status().ToString() } });
        if (absl::IsUnimplemented(reply.status())) {
          return; // An agent of an earlier version.
        }
        boost::this_fiber::sleep_for(kNoticeRetry);
      }
    });
}

} // namespace foxtailbarrow::scheduler
