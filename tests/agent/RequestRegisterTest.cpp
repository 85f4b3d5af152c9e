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

/// What happened to the id before Revoke().
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
  RequestAdmission mThen; ///< Of a request with the id after Revoke().
};

void Prepare(RequestRegister& aRegister, Before aBefore)
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

TEST_P(RequestRevoke, ReturnsTheVerdictAndEnforcesIt)
{
  RequestRegister requests({}, kStart);
  Prepare(requests, GetParam().mBefore);
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

/// Revoke() never returns NotRun for an id that ran, and an id for which it
/// returned NotRun never runs, even if ids were dropped by age or size.
RC_GTEST_PROP(RequestRegister, NeverReturnsNotRunForARequestThatRan, ())
{
  RequestRegisterLimits limits;
  limits.mMaxFinished = 64 * 2;
  limits.mMaxRevoked = 64 * 2;
  limits.mFinishedRetention = seconds(20);
  RequestRegister requests(limits, kStart);
  struct RequestHistory
  {
    Instant mSentAt{};
    bool mRan = false;
    bool mReportedNotRun = false;
  };
  std::map<std::uint32_t, RequestHistory> histories;
  Instant now = kStart;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
    rc::gen::arbitrary<std::uint32_t>());
  for (const std::uint32_t step : steps) {
    now += std::chrono::milliseconds(step % 4'000);
    const std::uint32_t number = step >> 12 & 0x1ff;
    const RequestId id(std::to_string(number));
    const bool isNew = !histories.contains(number);
    RequestHistory& history = histories[number];
    if (isNew) {
      history.mSentAt = now;
    }
    if ((step & 0x80000000) != 0) {
      const Verdict verdict = requests.Revoke(id, now - history.mSentAt, now);
      RC_ASSERT(!(history.mRan && verdict == Verdict::NotRun));
      history.mReportedNotRun |= verdict == Verdict::NotRun;
    } else if (!history.mRan &&
               requests.Begin(id, now) == RequestAdmission::Admitted) {
      RC_ASSERT(!history.mReportedNotRun);
      history.mRan = true;
      requests.Finish(id, Verdict::Ran, now);
    }
  }
}

TEST(RequestRegister, AdmitsARetryOfARefusedRequest)
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
