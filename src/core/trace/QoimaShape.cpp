#include "src/core/trace/DeploymentShape.h"

#include <utility>

namespace foxtailbarrow {

namespace {

constexpr std::int64_t kDurationMs = 22'000;
constexpr std::int64_t kLimitChangeMs = 7'000;
constexpr std::int64_t kFollowersEndMs = 19'000;

Contract MakeContract(const char* aCustomer, const char* aTeam)
{
  Contract contract;
  contract.mCustomer = CustomerId(aCustomer);
  contract.mTeam = TeamId(aTeam);
  contract.mService = ServiceId("backup-orchestration");
  contract.mMaxCopies = 11;
  contract.mMaxConcurrency = 200;
  contract.mRequestsPerSecond = 400;
  contract.mBurst = 200;
  contract.mBatch.mTotal = { 240'000, 1'000'000, 0 };
  contract.mBatch.mMaxRunningJobs = 60;
  contract.mBatch.mSharePerWorker = 0.7;
  contract.mWeights = { 1.0, 3.0 };
  return contract;
}

RequestShape Verification()
{
  return { 5.0, "POST", "/verify/", { 300, 2'000 }, true, 4'000, 12'000 };
}

RequestShape CatalogueEntry()
{
  return { 2.0, "GET", "/snapshots/", { 0, 0 }, true, 2'000, 3'000 };
}

RequestShape FollowerStart()
{
  return { 1.0, "POST", "/followers/", { 200, 600 }, false, 5'000, 8'000 };
}

JobShape Rehearsals(std::int64_t aCount)
{
  JobShape shape;
  shape.mName = "rehearsal";
  shape.mCount = aCount;
  shape.mAtMs = { 500, 14'000 };
  shape.mKind = JobKind::Exclusive;
  shape.mDeclared = { 8'000, 16'000, 0 };
  shape.mDeclaredRunMs = 4'000;
  shape.mRunMs = { 1'000, 7'000 };
  shape.mUsed = 0.7;
  return shape;
}

JobShape UrgentRehearsal()
{
  JobShape shape = Rehearsals(2);
  shape.mName = "urgent-rehearsal";
  shape.mPriority = JobPriority::Urgent;
  return shape;
}

JobShape CatalogueScans(std::int64_t aCount)
{
  JobShape shape;
  shape.mName = "scan";
  shape.mCount = aCount;
  shape.mAtMs = { 500, 16'000 };
  shape.mDeclared = { 2'000, 4'000, 0 };
  shape.mDeclaredRunMs = 500;
  shape.mRunMs = { 800, 5'000 };
  shape.mUsed = 0.9;
  return shape;
}

JobShape Followers(std::int64_t aCount)
{
  JobShape shape;
  shape.mName = "follower";
  shape.mCount = aCount;
  shape.mAtMs = { 300, 4'000 };
  shape.mKind = JobKind::Standing;
  shape.mDeclared = { 1'000, 2'000, 0 };
  shape.mCancelAtMs = kFollowersEndMs;
  shape.mEndState = JobState::Cancelled;
  return shape;
}

/// Declares accelerators that no worker has, and is therefore parked.
JobShape ImpossibleScan()
{
  JobShape shape = CatalogueScans(1);
  shape.mName = "impossible";
  shape.mDeclared.mAccelerators = 64;
  shape.mEndState = JobState::Parked;
  return shape;
}

} // namespace

DeploymentShape QoimaShape()
{
  DeploymentShape shape;
  shape.mName = "qoima";
  shape.mDurationMs = kDurationMs;
  shape.mPeakFactor = 2.5;
  shape.mOutcomes = { 250.0, 0.995, 0.005, 0.98, 2, 20'000 };
  shape.mCustomers = {
    { MakeContract("bank-alatau", "banks"),
      15.0,
      { Verification(), CatalogueEntry(), FollowerStart() },
      { Rehearsals(6), UrgentRehearsal(), Followers(4) } },
    { MakeContract("klinika-medeu", "clinics"),
      9.0,
      { Verification(), CatalogueEntry() },
      { Rehearsals(5), CatalogueScans(6), Followers(3) } },
    { MakeContract("dukon-samal", "retailers"),
      12.0,
      { Verification(), CatalogueEntry() },
      { CatalogueScans(10), ImpossibleScan() } },
  };
  shape.mCustomers.front().mContract.mUrgentAllowed = true;
  shape.mChanges = { WithDoubledLimits(shape.mCustomers.front().mContract,
                                       kLimitChangeMs) };
  return shape;
}

} // namespace foxtailbarrow
