#include "src/core/routing/OutlierDetector.h"
#include <ostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/routing/RequestInFlight.h"
#include "tests/routing/RoutingFixture.h"

namespace foxtailbarrow {
namespace {

using namespace testing_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kWarm = kStart + seconds(60);

HealthState StateOf(const RoutableAgent& aAgent)
{
  return aAgent.mRoutingState->mHealth.mState.load();
}

std::size_t CountEjected(const ServiceTable& aService)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aService.Routable(), [](const auto& aAgent) {
      return StateOf(*aAgent) == HealthState::Ejected;
    }));
}

/// Outcomes of agent 0 over two windows; the ten others succeed in 10 ms.
struct EjectionCase
{
  const char* mName;
  int mFailuresInTen; ///< Spread evenly, beginning with a success.
  milliseconds mLatency;
  Reason mReason;
};

void PrintTo(const EjectionCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

class Ejection : public testing::TestWithParam<EjectionCase>
{};

TEST_P(Ejection, IsForFailuresOrSlowness)
{
  AgentDirectory directory = DirectoryOf(11);
  const OutlierDetector detector;
  const auto table = directory.Table();
  std::vector<EjectionEvent> events;
  for (int window = 0; window < 2; ++window) {
    for (const auto& agent : table->Find(kService)->Routable()) {
      const bool isFirst = agent->mAgent.Value() == "agent-0";
      for (int i = 0; i < 100; ++i) {
        const bool fails = isFirst && i * GetParam().mFailuresInTen % 10 >=
                                        10 - GetParam().mFailuresInTen;
        detector.OnFinished(*agent,
                            fails ? Outcome::Failure : Outcome::Success,
                            isFirst ? GetParam().mLatency : milliseconds(10),
                            false,
                            kWarm);
      }
    }
    for (const auto& event : detector.Evaluate(*table, kWarm)) {
      events.push_back(event);
    }
  }
  ASSERT_EQ(events.size(), GetParam().mReason == Reason::None ? 0U : 1U);
  if (!events.empty()) {
    EXPECT_EQ(events[0].mAgent, AgentId("agent-0"));
    EXPECT_EQ(events[0].mReason, GetParam().mReason);
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  Ejection,
  testing::Values(
    EjectionCase{ "Healthy", 0, milliseconds(10), Reason::None },
    EjectionCase{ "RareFailures", 1, milliseconds(10), Reason::None },
    EjectionCase{ "Half", 5, milliseconds(10), Reason::EjectedForErrors },
    EjectionCase{ "All", 10, milliseconds(10), Reason::EjectedForErrors },
    EjectionCase{ "LittleSlower", 0, milliseconds(19), Reason::None },
    EjectionCase{ "Slow", 0, milliseconds(60), Reason::EjectedForLatency }),
  [](const auto& aInfo) { return aInfo.param.mName; });

RC_GTEST_PROP(OutlierDetectorProperty, NeverEjectsMoreThanTheShare, ())
{
  const int count = *rc::gen::inRange(1, 20);
  AgentDirectory directory = DirectoryOf(count);
  const OutlierDetector detector;
  Instant now = kWarm;
  const auto steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const auto table = directory.Table();
    const ServiceTable& service = *table->Find(kService);
    const auto agents = service.Routable();
    const auto& agent =
      *agents[*rc::gen::inRange<std::size_t>(0, agents.size())];
    detector.OnFinished(
      agent,
      *rc::gen::element(
        Outcome::Failure, Outcome::Failure, Outcome::Success, Outcome::Neutral),
      milliseconds(*rc::gen::inRange(1, 100)),
      StateOf(agent) == HealthState::Ejected,
      now);
    if (*rc::gen::inRange(0, 10) == 0) {
      detector.Evaluate(*table, now);
      now += seconds(1);
    }
    RC_ASSERT(CountEjected(service) <= static_cast<std::size_t>(0.3 * count));
  }
}

/// Reports failures of the agent until it is ejected.
void Fail(const OutlierDetector& aDetector,
          const RoutableAgent& aAgent,
          Instant aNow)
{
  for (int i = 0; i < 3; ++i) {
    aDetector.OnFinished(aAgent, Outcome::Failure, Duration(0), false, aNow);
  }
}

class Readmission : public testing::Test
{
protected:
  /// Picks until it gets a probe; nullopt when 200 picks return none.
  std::optional<Picked> Probe(Instant aNow, bool aIdempotent = true)
  {
    PickRequest request = RequestFor();
    request.mIdempotent = aIdempotent;
    for (int i = 0; i < 200; ++i) {
      auto choice = mRouter.Pick(mTable, request, aNow, mRandom);
      auto& picked = std::get<Picked>(choice);
      if (picked.mIsProbe) {
        return std::move(picked);
      }
      EXPECT_NE(StateOf(*picked.mAgent), HealthState::Ejected);
    }
    return std::nullopt;
  }

  void FinishProbe(Outcome aOutcome, Instant aNow)
  {
    auto probe = Probe(aNow);
    ASSERT_TRUE(probe.has_value());
    RequestInFlight request(std::move(*probe), mDetector, aNow);
    EXPECT_FALSE(Probe(aNow).has_value()) << "one probe at a time";
    request.Finish(aOutcome, aNow);
  }

  AgentDirectory mDirectory = DirectoryOf(4);
  OutlierDetector mDetector;
  Router mRouter{ FailureDomainId("domain-0") };
  std::shared_ptr<const RoutingTable> mTable = mDirectory.Table();
  const RoutableAgent& mAgent = *mTable->Find(kService)->Routable()[0];
  std::mt19937_64 mRandom{ 1 };
};

TEST_F(Readmission, NeedsProbesThatSucceed)
{
  Fail(mDetector, mAgent, kWarm);
  EXPECT_FALSE(Probe(kWarm + milliseconds(1999)).has_value());
  FinishProbe(Outcome::Success, kWarm + seconds(2));
  EXPECT_EQ(StateOf(mAgent), HealthState::Ejected);
  FinishProbe(Outcome::Success, kWarm + seconds(2));
  EXPECT_EQ(StateOf(mAgent), HealthState::Admitted);
}

TEST_F(Readmission, TakesTwiceAsLongAfterAFailedProbe)
{
  Fail(mDetector, mAgent, kWarm);
  FinishProbe(Outcome::Failure, kWarm + seconds(2));
  EXPECT_FALSE(Probe(kWarm + milliseconds(5999)).has_value());
  EXPECT_TRUE(Probe(kWarm + seconds(6)).has_value());
}

TEST_F(Readmission, WaitsLongerForARequestThatIsNotIdempotent)
{
  Fail(mDetector, mAgent, kWarm);
  EXPECT_FALSE(Probe(kWarm + seconds(3), false).has_value());
  EXPECT_TRUE(Probe(kWarm + seconds(4), false).has_value());
}

TEST_F(Readmission, SurvivesAProbeThatWasPickedAndNeverSent)
{
  Fail(mDetector, mAgent, kWarm);
  EXPECT_TRUE(Probe(kWarm + seconds(2)).has_value());
  EXPECT_FALSE(Probe(kWarm + seconds(31)).has_value());
  EXPECT_TRUE(Probe(kWarm + seconds(32)).has_value());
}

TEST_F(Readmission, SurvivesAProbeThatIsAbandoned)
{
  Fail(mDetector, mAgent, kWarm);
  {
    const RequestInFlight abandoned(
      std::move(*Probe(kWarm + seconds(2))), mDetector, kWarm);
    EXPECT_EQ(mAgent.mRoutingState->mLoad.InFlight(), 1);
  }
  EXPECT_EQ(mAgent.mRoutingState->mLoad.InFlight(), 0);
  EXPECT_TRUE(Probe(kWarm + seconds(2)).has_value());
}

} // namespace
} // namespace foxtailbarrow
