#include <map>
#include <ostream>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/routing/RoutingFixture.h"

namespace foxtailbarrow {
namespace {

using namespace testing_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kWarm = kStart + seconds(60);

PickRequest KeyedRequest(std::string_view aKey)
{
  PickRequest request = RequestFor();
  request.mCustomer = CustomerId("plumber");
  request.mIdempotencyKey = aKey;
  return request;
}

class Keyed : public testing::Test
{
protected:
  Choice Pick(std::string_view aKey, Instant aNow = kWarm)
  {
    return mRouter.Pick(mDirectory.Table(), KeyedRequest(aKey), aNow, mRandom);
  }

  AgentId AgentFor(std::string_view aKey, Instant aNow = kWarm)
  {
    return std::get<Picked>(Pick(aKey, aNow)).mAgent->mAgent;
  }

  void Change(const AgentId& aAgent, ServingState aState, Incarnation aStart)
  {
    const int number = std::stoi(aAgent.Value().substr(6));
    mDirectory.Apply(HeartbeatOf(number, aState, 2, aStart), kWarm);
  }

  AgentDirectory mDirectory = DirectoryOf(11);
  Router mRouter{ FailureDomainId("domain-0") };
  std::mt19937_64 mRandom{ 1 };
};

TEST_F(Keyed, GoesToTheSameAgentAtEveryEntry)
{
  const Router other(FailureDomainId("domain-2"));
  std::map<AgentId, int> counts;
  for (int i = 0; i < 1100; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const auto choice =
      other.Pick(mDirectory.Table(), KeyedRequest(key), kWarm, mRandom);
    EXPECT_EQ(AgentFor(key), std::get<Picked>(choice).mAgent->mAgent);
    EXPECT_TRUE(std::get<Picked>(choice).mRevokeFirst.empty());
    ++counts[AgentFor(key)];
  }
  EXPECT_EQ(counts.size(), 11U);
  for (const auto& [agent, count] : counts) {
    EXPECT_NEAR(count, 100, 40) << agent.Value();
  }
}

TEST_F(Keyed, AsksTheDrainingAgentFirst)
{
  const AgentId agent = AgentFor("key");
  Change(agent, ServingState::Draining, 1);
  const auto picked = std::get<Picked>(Pick("key"));
  EXPECT_NE(picked.mAgent->mAgent, agent);
  ASSERT_EQ(picked.mRevokeFirst.size(), 1U);
  EXPECT_EQ(picked.mRevokeFirst[0].mAgent->mAgent, agent);
}

TEST_F(Keyed, RefusesForAWindowAfterItsAgentWasLost)
{
  const AgentId agent = AgentFor("key");
  Change(agent, ServingState::Serving, 2);
  const auto refusal = std::get<NoChoice>(Pick("key"));
  EXPECT_EQ(refusal.mReason, Reason::KeyHolderLost);
  EXPECT_EQ(refusal.mVerdict, Verdict::MayHaveRun);
  EXPECT_FALSE(refusal.mRetryAfter.has_value());
  for (seconds age(1); age <= seconds(31); ++age) {
    for (int i = 0; i < 11; ++i) {
      const bool isLost = HeartbeatOf(i).mAgent == agent;
      const auto heartbeat =
        HeartbeatOf(i, ServingState::Serving, 2 + age.count(), isLost ? 2 : 1);
      mDirectory.Apply(heartbeat, kWarm + age);
    }
    mDirectory.Advance(kWarm + age);
  }
  EXPECT_EQ(AgentFor("key", kWarm + seconds(31)), agent);
}

/// A fleet whose agents start one after another while the entry is running.
struct YoungFleetCase
{
  const char* mName;
  milliseconds mBetweenAgents;
};

void PrintTo(const YoungFleetCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

class YoungFleet : public testing::TestWithParam<YoungFleetCase>
{};

TEST_P(YoungFleet, RefusesNoKeyWhileNoAgentLeaves)
{
  AgentDirectory directory;
  Heartbeat other = HeartbeatOf(99);
  other.mService = ServiceId("other");
  directory.Apply(other, kStart);
  for (int i = 0; i < 11; ++i) {
    directory.Apply(HeartbeatOf(i), kWarm + i * GetParam().mBetweenAgents);
  }
  const Router router(FailureDomainId("domain-0"));
  std::mt19937_64 random(1);
  const Instant last = kWarm + 10 * GetParam().mBetweenAgents;
  for (Duration age{}; age < seconds(40); age += milliseconds(500)) {
    for (int i = 0; i < 50; ++i) {
      const auto choice = router.Pick(directory.Table(),
                                      KeyedRequest("key-" + std::to_string(i)),
                                      last + age,
                                      random);
      EXPECT_TRUE(std::holds_alternative<Picked>(choice)) << age.count();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  YoungFleet,
  testing::Values(YoungFleetCase{ "AtOnce", milliseconds(0) },
                  YoungFleetCase{ "InASecond", milliseconds(85) },
                  YoungFleetCase{ "Slowly", milliseconds(2500) }),
  [](const auto& aInfo) { return aInfo.param.mName; });

/// Simulates agents that store keys, and entries whose routing tables differ in
/// age, with the real directory and router. Attempts follow KeyedPick's rule.
class KeyedFleet
{
public:
  static constexpr int kAgents = 8;
  static constexpr int kAtStart = 4; ///< The others join by Restart().
  static constexpr int kEntries = 3;

  explicit KeyedFleet(unsigned aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < kAgents; ++i) {
      mAgents.push_back(
        { 1, i < kAtStart ? ServingState::Serving : ServingState::Starting });
    }
    AdvanceTime(seconds(40));
  }

  /// Advances the time; each entry receives heartbeats with its own delay.
  void AdvanceTime(Duration aTime)
  {
    constexpr milliseconds kStep(500);
    for (const Instant end = mNow + aTime; mNow < end; mNow += kStep) {
      for (int entry = 0; entry < kEntries; ++entry) {
        Deliver(entry);
      }
    }
  }

  void Drain(int aAgent) { mAgents[aAgent].mState = ServingState::Draining; }

  /// A new incarnation knows no keys.
  void Restart(int aAgent)
  {
    mAgents[aAgent] = { mAgents[aAgent].mIncarnation + 1,
                        ServingState::Serving };
  }

  void Attempt(int aEntry, const std::string& aKey)
  {
    std::vector<AgentId> excluded;
    bool isRevoked = false;
    for (int attempt = 0; attempt < 3; ++attempt) {
      PickRequest request = KeyedRequest(aKey);
      request.mExcluded = excluded;
      request.mKeyRevoked = isRevoked;
      const auto choice =
        mRouter.Pick(mDirectories[aEntry].Table(), request, mNow, mRandom);
      const auto* picked = std::get_if<Picked>(&choice);
      if (picked == nullptr || !Promise(picked->mRevokeFirst, aKey)) {
        return;
      }
      Agent* agent = FindIncarnation(*picked->mAgent);
      if (agent == nullptr) {
        return;
      }
      const bool isKnown = agent->mRan.contains(aKey);
      if (isKnown) {
        return;
      }
      if (agent->mState == ServingState::Serving &&
          !agent->mPromised.contains(aKey)) {
        agent->mRan.insert(aKey);
        ++mRuns[aKey];
        return;
      }
      isRevoked = isRevoked || agent->mPromised.contains(aKey);
      excluded.push_back(picked->mAgent->mAgent);
    }
  }

  int Runs(const std::string& aKey) const
  {
    const auto found = mRuns.find(aKey);
    return found == mRuns.end() ? 0 : found->second;
  }

private:
  struct Agent
  {
    Incarnation mIncarnation = 1;
    ServingState mState = ServingState::Serving;
    std::set<std::string> mRan = {};
    std::set<std::string> mPromised = {};
  };

  void Deliver(int aEntry)
  {
    for (int i = 0; i < kAgents; ++i) {
      // Each entry receives a change up to 2 s late.
      if (std::uniform_int_distribution(0, 3)(mRandom) == 0 ||
          mNow >= mDeliveredAt[aEntry][i] + seconds(2)) {
        mDirectories[aEntry].Apply(
          HeartbeatOf(
            i, mAgents[i].mState, ++mSequence, mAgents[i].mIncarnation),
          mNow);
        mDeliveredAt[aEntry][i] = mNow;
      }
    }
    mDirectories[aEntry].Advance(mNow);
  }

  /// Null when that incarnation has ended.
  Agent* FindIncarnation(const RoutableAgent& aAgent)
  {
    Agent& agent = mAgents[std::stoi(aAgent.mAgent.Value().substr(6))];
    return agent.mIncarnation == aAgent.mIncarnation ? &agent : nullptr;
  }

  bool Promise(const std::vector<RevokeTarget>& aAsked, const std::string& aKey)
  {
    for (const RevokeTarget& asked : aAsked) {
      Agent* agent = FindIncarnation(*asked.mAgent);
      if (agent == nullptr || agent->mRan.contains(aKey)) {
        return false;
      }
      const bool isFirst = agent->mPromised.insert(aKey).second;
      if (asked.mMustBeFirstPromise && !isFirst) {
        return false;
      }
    }
    return true;
  }

  std::mt19937_64 mRandom;
  Instant mNow = kStart;
  std::vector<Agent> mAgents;
  AgentDirectory mDirectories[kEntries];
  std::map<int, std::map<int, Instant>> mDeliveredAt;
  std::uint64_t mSequence = 0;
  Router mRouter{ FailureDomainId("domain-0") };
  std::map<std::string, int> mRuns;
};

RC_GTEST_PROP(KeyedProperty, RunsAKeyAtMostOnceWhateverAgentsDo, ())
{
  KeyedFleet fleet(*rc::gen::arbitrary<unsigned>());
  const auto agent = rc::gen::inRange(0, KeyedFleet::kAgents);
  constexpr int kKeys = 10;
  const int steps = *rc::gen::inRange(1, 100);
  Duration elapsed{};
  for (int step = 0; step < steps && elapsed < seconds(25); ++step) {
    if (const int event = *rc::gen::inRange(0, 30); event == 0) {
      fleet.Drain(*agent);
    } else if (event == 1) {
      fleet.Restart(*agent);
    } else if (event < 6) {
      const milliseconds pause(*rc::gen::inRange(0, 4'000));
      fleet.AdvanceTime(pause);
      elapsed += pause;
    } else {
      fleet.Attempt(*rc::gen::inRange(0, KeyedFleet::kEntries),
                    "key-" + std::to_string(*rc::gen::inRange(0, kKeys)));
    }
  }
  int ran = 0;
  for (int i = 0; i < kKeys; ++i) {
    const int runs = fleet.Runs("key-" + std::to_string(i));
    RC_ASSERT(runs <= 1);
    ran += runs;
  }
  RC_TAG(ran);
}

} // namespace
} // namespace foxtailbarrow
