#include "apps/entry/HeartbeatHandler.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Time.h"
#include "src/net/TypedRpc.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

namespace {

/// Also the longest delay before a membership change other than a drain is
/// published in a new routing table.
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(100);
constexpr Duration kEvaluateInterval = std::chrono::seconds(1);

} // namespace

HeartbeatHandler::HeartbeatHandler(ControlContext& aContext,
                                   Snapshot<RoutingTable>& aTable)
  : mContext(aContext)
  , mTable(aTable)
  , mUnlimitedTable(std::make_shared<const RoutingTable>())
  , mHeartbeats(aContext.mMetrics.Counter("heartbeats_total",
                                          "Heartbeats received from agents"))
{
}

void HeartbeatHandler::AddContributor(Contributor aContributor)
{
  mContributors.push_back(std::move(aContributor));
}

void HeartbeatHandler::AddMethods(net::RpcDispatcher& aDispatcher)
{
  net::AddTyped<Heartbeat>(
    aDispatcher, "agent.heartbeat", [this](const Heartbeat& aHeartbeat) {
      return OnHeartbeat(aHeartbeat);
    });
}

void HeartbeatHandler::Start()
{
  mContext.mRuntime.Spawn([this] {
    while (true) {
      const Instant now = MonotonicNow();
      mDirectory.Advance(now);
      Publish();
      EvaluateHealth(now);
      boost::this_fiber::sleep_for(kAdvanceInterval);
    }
  });
}

HeartbeatReply HeartbeatHandler::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  mHeartbeats.Increment();
  mDirectory.Apply(aHeartbeat, MonotonicNow());
  if (aHeartbeat.mState == ServingState::Draining) {
    Publish();
  }
  HeartbeatReply reply;
  reply.mEntry = mContext.mSelf;
  for (const Contributor& contribute : mContributors) {
    contribute(aHeartbeat, reply);
  }
  return reply;
}

void HeartbeatHandler::SetAllowances(std::vector<CopyAllowance> aAllowances)
{
  mAllowances = std::move(aAllowances);
  mTable.Publish(LimitCopies(mUnlimitedTable, mAllowances));
}

Duration HeartbeatHandler::MaxHeartbeatInterval() const
{
  Duration longest{};
  for (const AgentRecord* record : mDirectory.Agents()) {
    if (record->mPhase == AgentPhase::Serving) {
      longest = std::max(longest, record->mInterval);
    }
  }
  return longest;
}

void HeartbeatHandler::EvaluateHealth(Instant aNow)
{
  if (aNow - mEvaluatedAt < kEvaluateInterval) {
    return;
  }
  mEvaluatedAt = aNow;
  for (const EjectionEvent& event :
       mDetector.Evaluate(*mUnlimitedTable, aNow)) {
    LogChange(
      "agent-health",
      { { "agent", event.mAgent }, { "reason", ToString(event.mReason) } });
  }
}

void HeartbeatHandler::Publish()
{
  for (const MembershipEvent& event : mDirectory.TakeEvents()) {
    LogChange("agent-phase",
              { { "agent", event.mAgent },
                { "from", ToString(event.mFrom) },
                { "to", ToString(event.mTo) } });
  }
  if (mDirectory.Changed()) {
    mUnlimitedTable = mDirectory.Table();
    mTable.Publish(LimitCopies(mUnlimitedTable, mAllowances));
  }
}

} // namespace foxtailbarrow::entry
