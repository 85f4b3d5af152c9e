#include "src/core/routing/Router.h"

#include <algorithm>
#include <ostream>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/routing/RoutingFixture.h"

namespace foxtailbarrow {
namespace {

using namespace testing_support;
using std::chrono::seconds;

constexpr Instant kWarm = kStart + seconds(60);

const RoutableAgent* AgentOf(const Choice& aChoice)
{
  const auto* picked = std::get_if<Picked>(&aChoice);
  return picked == nullptr ? nullptr : picked->mAgent.get();
}

RoutingPolicy PolicyOf(std::size_t aIndex)
{
  switch (aIndex) {
    case 0:
      return LeastLoadedPick();
    case 1:
      return RandomPick();
    default:
      return RoundRobinPick();
  }
}

class EveryPolicy : public testing::TestWithParam<std::size_t>
{};

TEST_P(EveryPolicy, SpreadsOverAllAgents)
{
  AgentDirectory directory = DirectoryOf(9);
  const auto table = directory.Table();
  const Router router(FailureDomainId("elsewhere"), PolicyOf(GetParam()));
  std::mt19937_64 random(1);
  std::set<AgentId> pickedAgents;
  for (int i = 0; i < 500; ++i) {
    const Choice choice = router.Pick(table, RequestFor(), kWarm, random);
    pickedAgents.insert(AgentOf(choice)->mAgent);
  }
  EXPECT_EQ(pickedAgents.size(), 9U);
}

TEST_P(EveryPolicy, RefusesWhenNoAgentIsServing)
{
  AgentDirectory directory = DirectoryOf(1);
  directory.Apply(HeartbeatOf(0, ServingState::Draining, 2), kStart);
  const Router router(FailureDomainId("domain-0"), PolicyOf(GetParam()));
  std::mt19937_64 random(1);
  for (const char* service : { "trips", "unknown" }) {
    const auto choice = router.Pick(
      directory.Table(), RequestFor(ServiceId(service)), kWarm, random);
    const auto& refusal = std::get<NoChoice>(choice);
    EXPECT_EQ(refusal.mReason, Reason::NoBackendServer);
    EXPECT_EQ(refusal.mVerdict, Verdict::NotRun);
    EXPECT_TRUE(refusal.mRetryAfter.has_value());
  }
}

INSTANTIATE_TEST_SUITE_P(All, EveryPolicy, testing::Values(0U, 1U, 2U));

RC_GTEST_PROP(RouterProperty, NeverPicksDrainingLostOrExcluded, ())
{
  const int count = *rc::gen::inRange(1, 12);
  AgentDirectory directory = DirectoryOf(count);
  const auto drained =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count));
  for (const int agent : drained) {
    directory.Apply(HeartbeatOf(agent, ServingState::Draining, 2), kStart);
  }
  std::vector<AgentId> excluded;
  for (const int agent :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count))) {
    excluded.push_back(HeartbeatOf(agent).mAgent);
  }
  PickRequest request = RequestFor();
  request.mExcluded = excluded;
  const Router router(FailureDomainId("domain-1"),
                      PolicyOf(*rc::gen::inRange<std::size_t>(0, 3)));
  std::mt19937_64 random(*rc::gen::arbitrary<unsigned>());
  const auto choice = router.Pick(directory.Table(), request, kWarm, random);
  if (const RoutableAgent* agent = AgentOf(choice); agent != nullptr) {
    RC_ASSERT(std::ranges::find(excluded, agent->mAgent) == excluded.end());
    RC_ASSERT(directory.Find(agent->mAgent)->mPhase == AgentPhase::Serving);
  }
}

/// Loads of the agents 0..2 of domain-0, where the entry is, and 3..5 of
/// domain-1, and whether most choices stay in domain-0.
struct PreferenceCase
{
  const char* mName;
  std::int32_t mLocalLoad;
  std::int32_t mRemoteLoad;
  bool mStaysLocal;
};

void PrintTo(const PreferenceCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

class DomainPreference : public testing::TestWithParam<PreferenceCase>
{};

TEST_P(DomainPreference, YieldsToClearlyLowerLoad)
{
  AgentDirectory directory = DirectoryOf(6);
  for (int i = 0; i < 6; ++i) {
    const auto load = i < 3 ? GetParam().mLocalLoad : GetParam().mRemoteLoad;
    directory.Find(HeartbeatOf(i).mAgent)
      ->mRoutingState->mLoad.Report({ load, 8, 0 }, kWarm);
  }
  const Router router(FailureDomainId("domain-0"));
  std::mt19937_64 random(1);
  int local = 0;
  for (int i = 0; i < 200; ++i) {
    const auto choice =
      router.Pick(directory.Table(), RequestFor(), kWarm, random);
    local += AgentOf(choice)->mFailureDomain.Value() == "domain-0" ? 1 : 0;
  }
  EXPECT_EQ(local > 100, GetParam().mStaysLocal) << local;
}

INSTANTIATE_TEST_SUITE_P(
  All,
  DomainPreference,
  testing::Values(PreferenceCase{ "BothIdle", 0, 0, true },
                  PreferenceCase{ "LittleMore", 2, 1, true },
                  PreferenceCase{ "MuchMore", 8, 0, false },
                  PreferenceCase{ "RemoteBusier", 8, 16, true }),
  [](const auto& aInfo) { return aInfo.param.mName; });

TEST(LeastLoadedPick, SkipsFullAgentsAndRefusesWhenAllAreFull)
{
  AgentDirectory directory = DirectoryOf(4);
  const Router router(FailureDomainId("domain-0"));
  std::mt19937_64 random(1);
  for (int i = 0; i < 3; ++i) {
    directory.Find(HeartbeatOf(i).mAgent)
      ->mRoutingState->mLoad.Report({ 8, 8, 16 }, kWarm);
  }
  const auto table = directory.Table();
  for (int i = 0; i < 100; ++i) {
    const auto choice = router.Pick(table, RequestFor(), kWarm, random);
    EXPECT_EQ(AgentOf(choice)->mAgent, HeartbeatOf(3).mAgent);
  }
  directory.Find(HeartbeatOf(3).mAgent)
    ->mRoutingState->mLoad.Report({ 8, 8, 17 }, kWarm);
  const auto choice = router.Pick(table, RequestFor(), kWarm, random);
  EXPECT_EQ(std::get<NoChoice>(choice).mReason, Reason::BackendServersBusy);
}

TEST(LeastLoadedPick, StartsANewBackendServerSlowly)
{
  AgentDirectory directory = DirectoryOf(2);
  Heartbeat restarted = HeartbeatOf(0, ServingState::Serving, 1, 2);
  directory.Apply(restarted, kWarm);
  const Router router(FailureDomainId("domain-0"));
  std::mt19937_64 random(1);
  int early = 0;
  int late = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto pick = [&](Instant aNow) {
      const auto choice =
        router.Pick(directory.Table(), RequestFor(), aNow, random);
      return AgentOf(choice)->mAgent == restarted.mAgent ? 1 : 0;
    };
    early += pick(kWarm);
    late += pick(kWarm + seconds(30));
  }
  EXPECT_LT(early, 400);
  EXPECT_GT(late, 400);
}

struct LoadHeaderCase
{
  const char* mText;
  std::optional<LoadSnapshot> mSnapshot;
};

void PrintTo(const LoadHeaderCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mText;
}

class LoadHeader : public testing::TestWithParam<LoadHeaderCase>
{};

TEST_P(LoadHeader, IsParsedStrictly)
{
  EXPECT_EQ(ParseLoadSnapshot(GetParam().mText), GetParam().mSnapshot);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  LoadHeader,
  testing::Values(LoadHeaderCase{ "3/8/5", LoadSnapshot{ 3, 8, 5 } },
                  LoadHeaderCase{ "0/0/0", LoadSnapshot{} },
                  LoadHeaderCase{ "", std::nullopt },
                  LoadHeaderCase{ "3/8", std::nullopt },
                  LoadHeaderCase{ "3/8/", std::nullopt },
                  LoadHeaderCase{ "3/8/5/1", std::nullopt },
                  LoadHeaderCase{ "-1/8/5", std::nullopt },
                  LoadHeaderCase{ "3 /8/5", std::nullopt },
                  LoadHeaderCase{ "99999999999/8/5", std::nullopt }));

} // namespace
} // namespace foxtailbarrow
