#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/job/ShardOf.h"
#include "tests/job/ModelFleet.h"

namespace foxtailbarrow::test {
namespace {

using namespace std::chrono_literals;

constexpr int kJobs = 10;

JobSpec SpecOf(int aNumber)
{
  constexpr std::array kKinds{ JobKind::Batch,
                               JobKind::Exclusive,
                               JobKind::Standing };
  JobSpec spec;
  spec.mCustomer = CustomerId(aNumber % 2 == 0 ? "even" : "odd");
  spec.mId = JobIdFor(spec.mCustomer, std::to_string(aNumber));
  spec.mKind = kKinds[static_cast<std::size_t>(aNumber) % kKinds.size()];
  spec.mDeclared = { 1000, 500, 0 };
  return spec;
}

Faults AnyFaults()
{
  const auto upTo = [](int aPerMille) {
    return *rc::gen::inRange(0, aPerMille + 1);
  };
  Faults faults;
  faults.mStoreUnknown = upTo(200);
  faults.mStoreNotRun = upTo(100);
  faults.mAssignLost = upTo(300);
  faults.mHeartbeatLost = upTo(200);
  faults.mAgentFreeze = upTo(10);
  faults.mAgentReplace = upTo(5);
  faults.mAgentRestart = upTo(10);
  faults.mEntryPause = upTo(10);
  faults.mEntryCrash = upTo(5);
  faults.mEvict = upTo(30);
  faults.mTaskFails = upTo(2);
  return faults;
}

RC_GTEST_PROP(JobSchedulerFaults, PreserveAllGuarantees, (std::uint64_t aSeed))
{
  JobSchedulerSettings settings;
  settings.mAttemptsLimit = 1000;
  ModelFleet fleet(aSeed, AnyFaults(), settings);
  for (int i = 0; i < kJobs; ++i) {
    fleet.Submit(SpecOf(i));
    fleet.Run(1s);
  }
  fleet.Run(60s);
  for (int i = 0; i < kJobs; i += 4) {
    fleet.Cancel(SpecOf(i).mId);
  }
  fleet.Run(60s);
  fleet.StopFaults();
  fleet.Run(100s);
  RC_ASSERT(fleet.Violations() == std::vector<std::string>{});

  // No accepted job is lost: standing jobs run, all others have ended.
  for (int i = 0; i < kJobs; ++i) {
    const JobSpec spec = SpecOf(i);
    const JobState state = fleet.Record(spec.mId).mState;
    const bool runs = fleet.RunningPlaces(spec.mId) == 1;
    RC_ASSERT(IsFinal(state) || (state == JobState::Assigned && runs));
    RC_ASSERT(IsFinal(state) || spec.mKind == JobKind::Standing);
    fleet.Cancel(spec.mId);
  }
  fleet.Run(100s);
  RC_ASSERT(fleet.AllFinal());
  RC_ASSERT(fleet.Violations() == std::vector<std::string>{});
}

struct PairCase
{
  std::string_view mName;
  Duration mFreeze;
  Duration mPause;
};

class FrozenAgentAndPausedOwner : public testing::TestWithParam<PairCase>
{};

TEST_P(FrozenAgentAndPausedOwner, NeverRunAStandingJobTwice)
{
  ModelFleet fleet(1, {});
  const JobSpec spec = SpecOf(2);
  fleet.Submit(spec);
  fleet.Run(10s);
  ASSERT_EQ(fleet.RunningPlaces(spec.mId), 1);
  fleet.FreezeAgentOf(spec.mId, GetParam().mFreeze);
  fleet.PauseOwner(GetParam().mPause);
  fleet.Run(120s);
  EXPECT_EQ(fleet.RunningPlaces(spec.mId), 1);
  EXPECT_EQ(fleet.Violations(), std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
  All,
  FrozenAgentAndPausedOwner,
  testing::Values(PairCase{ "FreezeWithinLease", 10s, 0s },
                  PairCase{ "FreezeBeyondLease", 60s, 0s },
                  PairCase{ "PauseOfOwner", 0s, 30s },
                  PairCase{ "BothShort", 15s, 10s },
                  PairCase{ "BothLong", 60s, 60s }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace
} // namespace foxtailbarrow::test
