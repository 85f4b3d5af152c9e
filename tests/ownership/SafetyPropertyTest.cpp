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
    // Ranges shrink with the size, which here is to bound the number of faults.
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
  bool mSafe; ///< False: a mutation that the check must notice.
  std::function<void(OwnershipSettings&)> mSettings;
  std::function<void(TaskFleet&)> mMutate;
};

std::ostream& operator<<(std::ostream& aOut, const SafetyCase& aCase)
{
  return aOut << aCase.mName;
}

/// The first task in two places under these faults; empty when there is none.
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

TEST_P(TaskSafety, NoTaskRunsInTwoPlacesWhateverBefalls)
{
  rc::detail::TestParams params;
  params.seed = 20261202;
  params.maxSuccess = GetParam().mSafe ? 600 : 1500;
  params.maxSize = 12;
  params.disableShrinking = !GetParam().mSafe;
  const auto result = rc::detail::checkTestable(
    [](int aSeed, const std::vector<Fault>& aFaults) {
      const std::string doubled = FirstDoubleRun(GetParam(), aSeed, aFaults);
      RC_ASSERT(doubled == "");
    },
    rc::detail::TestMetadata(),
    params);
  rc::detail::SuccessResult success;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_EQ(result.match(success), GetParam().mSafe) << text.str();
}

const auto kAsIs = [](OwnershipSettings&) {};
const auto kNone = [](TaskFleet&) {};

INSTANTIATE_TEST_SUITE_P(
  Rules,
  TaskSafety,
  testing::Values(
    SafetyCase{ "AsDesigned", true, kAsIs, kNone },
    SafetyCase{
      "NoHold",
      false,
      [](OwnershipSettings& aSettings) { aSettings.mTenureTimeout = 30s; },
      kNone },
    SafetyCase{ "VotersForget",
                false,
                kAsIs,
                [](TaskFleet& aFleet) { aFleet.mVotersForget = true; } },
    SafetyCase{ "ValidityBeyondStoreLease",
                false,
                [](OwnershipSettings& aSettings) { aSettings.mValidity = 40s; },
                kNone },
    SafetyCase{
      "LeaseDatedByReceipt",
      false,
      kAsIs,
      [](TaskFleet& aFleet) { aFleet.mMutations.mDatedByReceipt = true; } },
    SafetyCase{
      "BlindRetry",
      false,
      kAsIs,
      [](TaskFleet& aFleet) { aFleet.mMutations.mBlindRetry = true; } }),
  [](const testing::TestParamInfo<SafetyCase>& aInfo) {
    return aInfo.param.mName;
  });

} // namespace
} // namespace foxtailbarrow::test
