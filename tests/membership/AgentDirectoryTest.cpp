#include "src/core/membership/AgentDirectory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/routing/RoutingFixture.h"

namespace foxtailbarrow {
namespace {

using namespace testing_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t RoutableCount(AgentDirectory& aDirectory)
{
  const auto table = aDirectory.Table();
  const ServiceTable* service = table->Find(kService);
  return service == nullptr ? 0 : service->Routable().size();
}

/// Heartbeats of agent 0 after its first one, and the expected phase.
struct PhaseCase
{
  const char* mName;
  ServingState mState;
  seconds mSilence;
  AgentPhase mPhase;
  bool mIsRoutable; ///< While another agent serves.
};

void PrintTo(const PhaseCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

class Phase : public testing::TestWithParam<PhaseCase>
{};

TEST_P(Phase, FollowsFromStateAndSilence)
{
  AgentDirectory directory = DirectoryOf(2);
  directory.Apply(HeartbeatOf(0, GetParam().mState, 2), kStart);
  for (seconds age(1); age <= GetParam().mSilence; ++age) {
    directory.Apply(HeartbeatOf(1, ServingState::Serving, 2 + age.count()),
                    kStart + age);
    directory.Advance(kStart + age);
  }
  EXPECT_EQ(directory.Find(AgentId("agent-0"))->mPhase, GetParam().mPhase);
  EXPECT_EQ(RoutableCount(directory), GetParam().mIsRoutable ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         Phase,
                         testing::Values(PhaseCase{ "Starting",
                                                    ServingState::Starting,
                                                    seconds(0),
                                                    AgentPhase::Starting,
                                                    false },
                                         PhaseCase{ "Serving",
                                                    ServingState::Serving,
                                                    seconds(0),
                                                    AgentPhase::Serving,
                                                    true },
                                         PhaseCase{ "OneLost",
                                                    ServingState::Serving,
                                                    seconds(3),
                                                    AgentPhase::Serving,
                                                    true },
                                         PhaseCase{ "Silent",
                                                    ServingState::Serving,
                                                    seconds(4),
                                                    AgentPhase::Suspect,
                                                    false },
                                         PhaseCase{ "SilentForLong",
                                                    ServingState::Serving,
                                                    seconds(11),
                                                    AgentPhase::Gone,
                                                    false },
                                         PhaseCase{ "Draining",
                                                    ServingState::Draining,
                                                    seconds(0),
                                                    AgentPhase::Draining,
                                                    false },
                                         PhaseCase{ "DrainingAndSilent",
                                                    ServingState::Draining,
                                                    seconds(4),
                                                    AgentPhase::Draining,
                                                    false }),
                         [](const auto& aInfo) { return aInfo.param.mName; });

/// A second heartbeat after (incarnation 5, sequence 5) of agent 0.
struct OrderCase
{
  const char* mName;
  Incarnation mIncarnation;
  std::uint64_t mSequence;
  HeartbeatEffect mEffect;
};

void PrintTo(const OrderCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

class Order : public testing::TestWithParam<OrderCase>
{};

TEST_P(Order, IsByIncarnationThenSequence)
{
  AgentDirectory directory;
  directory.Apply(HeartbeatOf(0, ServingState::Serving, 5, 5), kStart);
  const auto second = HeartbeatOf(
    0, ServingState::Draining, GetParam().mSequence, GetParam().mIncarnation);
  EXPECT_EQ(directory.Apply(second, kStart), GetParam().mEffect);
  EXPECT_EQ(RoutableCount(directory),
            GetParam().mEffect == HeartbeatEffect::Outdated ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  Order,
  testing::Values(OrderCase{ "Repeat", 5, 5, HeartbeatEffect::Outdated },
                  OrderCase{ "OlderSequence", 5, 4, HeartbeatEffect::Outdated },
                  OrderCase{ "NewerSequence", 5, 6, HeartbeatEffect::Updated },
                  OrderCase{ "OlderStart", 4, 9, HeartbeatEffect::Outdated },
                  OrderCase{ "NewerStart", 6, 1, HeartbeatEffect::Restarted }),
  [](const auto& aInfo) { return aInfo.param.mName; });

TEST(AgentDirectory, ReplacesTheAgentAtAnAddress)
{
  AgentDirectory directory = DirectoryOf(2);
  Heartbeat successor = HeartbeatOf(7, ServingState::Serving, 1, 2);
  successor.mEndpoint = HeartbeatOf(0).mEndpoint;
  directory.Apply(successor, kStart);
  EXPECT_EQ(directory.Find(AgentId("agent-0"))->mPhase, AgentPhase::Gone);
  directory.Apply(HeartbeatOf(0, ServingState::Serving, 2), kStart);
  EXPECT_EQ(RoutableCount(directory), 2U);
}

TEST(AgentDirectory, KeepsSuspectsWhenNoOtherServes)
{
  AgentDirectory directory = DirectoryOf(3);
  for (seconds age(1); age <= seconds(4); ++age) {
    directory.Advance(kStart + age);
  }
  EXPECT_EQ(RoutableCount(directory), 3U);
}

TEST(AgentDirectory, DoesNotCountItsOwnPauseAsMissingHeartbeats)
{
  AgentDirectory directory = DirectoryOf(3);
  directory.Advance(kStart);
  directory.Advance(kStart + seconds(60));
  EXPECT_EQ(directory.Find(AgentId("agent-0"))->mPhase, AgentPhase::Serving);
}

TEST(AgentDirectory, DeletesAgentsThatAreGone)
{
  AgentDirectory directory = DirectoryOf(100);
  for (seconds age(1); age < seconds(200); ++age) {
    directory.Advance(kStart + age);
  }
  EXPECT_TRUE(directory.Agents().empty());
  EXPECT_TRUE(directory.Table()->All().empty());
}

TEST(AgentDirectory, RebuildsTheTableOnlyIfMembershipChanged)
{
  AgentDirectory directory = DirectoryOf(3);
  const auto table = directory.Table();
  directory.Apply(HeartbeatOf(0, ServingState::Serving, 2), kStart);
  EXPECT_FALSE(directory.Changed());
  EXPECT_EQ(directory.Table(), table);
}

TEST(AgentDirectory, LearnsALongHeartbeatInterval)
{
  AgentDirectory directory;
  Instant now = kStart;
  for (std::uint64_t i = 1; i < 100; ++i) {
    now += milliseconds(2500);
    directory.Apply(HeartbeatOf(0, ServingState::Serving, i), now);
  }
  for (int age = 0; age < 7; ++age) {
    directory.Advance(now + seconds(age));
  }
  EXPECT_EQ(directory.Find(AgentId("agent-0"))->mPhase, AgentPhase::Serving);
}

using View = std::map<AgentId, std::pair<Incarnation, AgentPhase>>;

View ViewAfter(const std::vector<Heartbeat>& aHeartbeats)
{
  AgentDirectory directory;
  for (const Heartbeat& heartbeat : aHeartbeats) {
    directory.Apply(heartbeat, kStart);
  }
  directory.Advance(kStart);
  View view;
  for (const AgentRecord* record : directory.Agents()) {
    view[record->mAgent] = { record->mIncarnation, record->mPhase };
  }
  return view;
}

RC_GTEST_PROP(AgentDirectoryProperty, DoesNotDependOnTheOrder, ())
{
  std::vector<Heartbeat> heartbeats;
  const auto count = *rc::gen::inRange(1, 20);
  for (int i = 0; i < count; ++i) {
    Heartbeat heartbeat = HeartbeatOf(
      *rc::gen::inRange(0, 4),
      *rc::gen::element(ServingState::Starting, ServingState::Serving),
      0,
      *rc::gen::inRange(1, 4));
    heartbeat.mSequence = static_cast<std::uint64_t>(i);
    // As in the fleet, an incarnation of an agent has one address.
    const auto address = (heartbeat.mAgent.Value().back() - '0') *
                         static_cast<int>(heartbeat.mIncarnation) % 3;
    heartbeat.mEndpoint = HeartbeatOf(address).mEndpoint;
    heartbeats.push_back(heartbeat);
  }
  const View first = ViewAfter(heartbeats);
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  std::shuffle(heartbeats.begin(), heartbeats.end(), random);
  RC_ASSERT(ViewAfter(heartbeats) == first);
}

} // namespace
} // namespace foxtailbarrow
