#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/ownership/Chaos.h"

namespace rc {

template<>
struct Arbitrary<foxtailbarrow::test::Fault>
{
  static Gen<foxtailbarrow::test::Fault> arbitrary()
  {
    using foxtailbarrow::test::Fault;
    using foxtailbarrow::test::FaultKind;
    const auto kind = gen::map(gen::inRange(0, 9), [](int aKind) {
      return static_cast<FaultKind>(aKind);
    });
    const auto fault =
      gen::build<Fault>(gen::set(&Fault::mKind, kind),
                        gen::set(&Fault::mTargets, gen::inRange(0U, 0x800U)),
                        gen::set(&Fault::mSpan, gen::inRange(1, 120)),
                        gen::set(&Fault::mGap, gen::inRange(0, 40)));
    // RapidCheck scales ranges with the size, which should only limit the
    // number of faults here.
    return gen::resize(kNominalSize, fault);
  }
};

} // namespace rc

namespace foxtailbarrow::test {
namespace {

constexpr std::size_t kAgents = 3;

struct SafetyCase
{
  const char* mName;
  bool mSafe; ///< False: a mutation that the check must detect.
  std::function<void(OwnershipSettings&)> mSettings;
  std::function<void(TaskFleet&)> mMutate;
};

std::ostream& operator<<(std::ostream& aOut, const SafetyCase& aCase)
{
  return aOut << aCase.mName;
}

/// The first task that ran on two agents at once under these faults; empty if
/// none.
std::string FirstDoubleRun(const SafetyCase& aCase,
                           int aSeed,
                           const std::vector<Fault>& aFaults)
{
  OwnershipSettings settings;
  settings.mShards = 2;
  aCase.mSettings(settings);
  ChaosFleet fleet(settings, aSeed % 2 == 0 ? 3 : 5, kAgents, aSeed);
  aCase.mMutate(fleet);
  fleet.RunFor(20s);
  for (const Fault& fault : aFaults) {
    fleet.Inject(fault);
    fleet.RunFor(std::chrono::seconds(fault.mGap));
  }
  fleet.RunFor(90s);
  return fleet.mFirstDoubleRun;
}

class TaskSafety : public testing::TestWithParam<SafetyCase>
{};

TEST_P(TaskSafety, NoTaskRunsTwiceAtOnceUnderFaults)
{
  rc::detail::TestParams params;
  params.seed = 20261202;
  params.maxSuccess = GetParam().mSafe ? 600 : 1500;
  params.maxSize = 12;
  params.disableShrinking = !GetParam().mSafe;
  const auto result = rc::detail::checkTestable(
    [](int aSeed, const std::vector<Fault>& aFaults) {
      const std::string doubleRun = FirstDoubleRun(GetParam(), aSeed, aFaults);
      RC_ASSERT(doubleRun == "");
    },
    rc::detail::TestMetadata(),
    params);
  rc::detail::SuccessResult success;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_EQ(result.match(success), GetParam().mSafe) << text.str();
}

const auto kDefaults = [](OwnershipSettings&) {};
const auto kNoMutation = [](TaskFleet&) {};

INSTANTIATE_TEST_SUITE_P(
  Rules,
  TaskSafety,
  testing::Values(SafetyCase{ "AsDesigned", true, kDefaults, kNoMutation },
                  SafetyCase{ "ShortTenureTimeout",
                              false,
                              [](OwnershipSettings& aSettings) {
                                aSettings.mTenureTimeout = 30s;
                              },
                              kNoMutation },
                  SafetyCase{ "VotersIgnorePromises",
                              false,
                              kDefaults,
                              [](TaskFleet& aFleet) {
                                aFleet.mVotersIgnorePromises = true;
                              } },
                  SafetyCase{ "ValidityBeyondStoreLease",
                              false,
                              [](OwnershipSettings& aSettings) {
                                aSettings.mValidity = 40s;
                              },
                              kNoMutation },
                  SafetyCase{ "LeaseDatedByReceipt",
                              false,
                              kDefaults,
                              [](TaskFleet& aFleet) {
                                aFleet.mMutations.mDatedByReceipt = true;
                              } },
                  SafetyCase{ "BlindRetry",
                              false,
                              kDefaults,
                              [](TaskFleet& aFleet) {
                                aFleet.mMutations.mBlindRetry = true;
                              } }),
  [](const testing::TestParamInfo<SafetyCase>& aInfo) {
    return aInfo.param.mName;
  });

} // namespace
} // namespace foxtailbarrow::test
