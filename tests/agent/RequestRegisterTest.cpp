#include "src/core/agent/RequestRegister.h"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::seconds;

const Instant kStart{ std::chrono::hours(1) };
const Instant kNow = kStart + std::chrono::minutes(1);
const RequestId kId("r1");

/// What happened to the id before Revoke() asks about it.
enum class Before
{
  Nothing,
  Running,
  Ran,
  MayHaveRun,
  Refused,
  Revoked,
};

struct RevokeCase
{
  const char* mName;
  Before mBefore;
  Duration mAge;
  Verdict mVerdict;
  RequestAdmission mThen; ///< When the id comes (again) afterwards.
};

void Happen(RequestRegister& aRegister, Before aBefore)
{
  if (aBefore == Before::Nothing) {
    return;
  }
  if (aBefore == Before::Revoked) {
    aRegister.Revoke(kId, seconds(1), kNow);
    return;
  }
  aRegister.Begin(kId, kNow);
  const std::map<Before, Verdict> ends{ { Before::Ran, Verdict::Ran },
                                        { Before::MayHaveRun,
                                          Verdict::MayHaveRun },
                                        { Before::Refused, Verdict::NotRun } };
  if (const auto end = ends.find(aBefore); end != ends.end()) {
    aRegister.Finish(kId, end->second, kNow);
  }
}

class RequestRevoke : public testing::TestWithParam<RevokeCase>
{};

TEST_P(RequestRevoke, TellsTheTruthAndKeepsIt)
{
  RequestRegister requests({}, kStart);
  Happen(requests, GetParam().mBefore);
  EXPECT_EQ(requests.Revoke(kId, GetParam().mAge, kNow), GetParam().mVerdict);
  EXPECT_EQ(requests.Begin(kId, kNow), GetParam().mThen);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  RequestRevoke,
  testing::Values(RevokeCase{ "neverCame",
                              Before::Nothing,
                              seconds(1),
                              Verdict::NotRun,
                              RequestAdmission::Revoked },
                  RevokeCase{ "sentBeforeTheStart",
                              Before::Nothing,
                              seconds(61),
                              Verdict::MayHaveRun,
                              RequestAdmission::Admitted },
                  RevokeCase{ "ageUnknown",
                              Before::Nothing,
                              Duration::max(),
                              Verdict::MayHaveRun,
                              RequestAdmission::Admitted },
                  RevokeCase{ "inProgress",
                              Before::Running,
                              seconds(1),
                              Verdict::MayHaveRun,
                              RequestAdmission::InProgress },
                  RevokeCase{ "ran",
                              Before::Ran,
                              seconds(1),
                              Verdict::Ran,
                              RequestAdmission::Finished },
                  RevokeCase{ "mayHaveRun",
                              Before::MayHaveRun,
                              seconds(1),
                              Verdict::MayHaveRun,
                              RequestAdmission::Finished },
                  RevokeCase{ "refused",
                              Before::Refused,
                              seconds(1),
                              Verdict::NotRun,
                              RequestAdmission::Revoked },
                  RevokeCase{ "revokedBefore",
                              Before::Revoked,
                              seconds(1),
                              Verdict::NotRun,
                              RequestAdmission::Revoked }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// Whatever was forgotten, by age or for lack of room, an id that ran is never
/// called NotRun, and one called NotRun never runs.
RC_GTEST_PROP(RequestRegister, NeverSaysNotRunOfWhatRan, ())
{
  RequestRegisterLimits limits;
  limits.mMaxFinished = 64 * 2;
  limits.mMaxRevoked = 64 * 2;
  limits.mFinishedRetention = seconds(20);
  RequestRegister requests(limits, kStart);
  struct Fate
  {
    Instant mSentAt{};
    bool mRan = false;
    bool mToldNotRun = false;
  };
  std::map<std::uint32_t, Fate> fates;
  Instant now = kStart;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
    rc::gen::arbitrary<std::uint32_t>());
  for (const std::uint32_t step : steps) {
    now += std::chrono::milliseconds(step % 4'000);
    const std::uint32_t number = step >> 12 & 0x1ff;
    const RequestId id(std::to_string(number));
    const bool isNew = !fates.contains(number);
    Fate& fate = fates[number];
    if (isNew) {
      fate.mSentAt = now;
    }
    if ((step & 0x80000000) != 0) {
      const Verdict verdict = requests.Revoke(id, now - fate.mSentAt, now);
      RC_ASSERT(!(fate.mRan && verdict == Verdict::NotRun));
      fate.mToldNotRun |= verdict == Verdict::NotRun;
    } else if (!fate.mRan &&
               requests.Begin(id, now) == RequestAdmission::Admitted) {
      RC_ASSERT(!fate.mToldNotRun);
      fate.mRan = true;
      requests.Finish(id, Verdict::Ran, now);
    }
  }
}

TEST(RequestRegister, AdmitsARefusedRequestThatComesBack)
{
  RequestRegister requests({}, kStart);
  requests.Begin(kId, kNow);
  requests.Finish(kId, Verdict::NotRun, kNow);
  EXPECT_EQ(requests.Begin(kId, kNow + seconds(1)), RequestAdmission::Admitted);
}

TEST(RequestRegister, StaysWithinItsSize)
{
  RequestRegisterLimits limits;
  limits.mMaxFinished = 640;
  limits.mMaxRevoked = 640;
  RequestRegister requests(limits, kStart);
  for (int i = 0; i < 5'000; ++i) {
    const RequestId id(std::to_string(i));
    requests.Begin(id, kNow);
    requests.Finish(id, i % 2 == 0 ? Verdict::Ran : Verdict::NotRun, kNow);
    requests.Revoke(RequestId("v" + std::to_string(i)), seconds(1), kNow);
  }
  EXPECT_LE(requests.Size(), 2 * 640U);
}

} // namespace
} // namespace foxtailbarrow
